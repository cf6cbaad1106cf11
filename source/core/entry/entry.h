// The process of one entry VM: connects the callers' server, the peers' server, the home and the
// dispatcher, and runs the threads that refresh executor shares and drive timeouts.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/claim/claimer.h"
#include "core/common/clock.h"
#include "core/common/random.h"
#include "core/configuration/holder.h"
#include "core/dispatch/dispatcher.h"
#include "core/entry/heartbeat_exchange.h"
#include "core/entry/shares.h"
#include "core/entry/telemetry_observer.h"
#include "core/front/api_server.h"
#include "core/handover/client.h"
#include "core/handover/inherited_submissions.h"
#include "core/handover/successor_registry.h"
#include "core/home/home.h"
#include "core/loan/agent.h"
#include "core/membership/directory.h"
#include "core/membership/view.h"
#include "core/peer/channel_pool.h"
#include "core/peer/client.h"
#include "core/peer/forward_service.h"
#include "core/peer/server.h"
#include "core/platform/client.h"
#include "core/propagation/follower.h"
#include "core/routing/keyed_router.h"
#include "core/routing/router.h"
#include "core/submission/issuer.h"
#include "core/submission/ledger.h"
#include "core/upstream/requester.h"
#include "settings.pb.h"

namespace savorytrail::entry {

class entry {
public:
    explicit entry(const schema::entry_settings& settings);
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    // Binds the servers' addresses and starts serving.
    std::error_code start();

    // Planned stop: refuses new submissions, waits for those in flight and hands the remembered
    // ones over to a successor. Returns false if the grace period ended with requests in flight.
    bool stop();

private:
    void run_share_loop();
    void refresh_shares();
    std::vector<std::string> live_entries() const;
    void hand_over_submissions();
    void run_tick_loop();
    std::optional<common::endpoint> address_of(const std::string& vm) const;
    bool is_ready() const;
    std::string status_json() const;
    std::string metrics_text() const;
    std::string story_json(const submission::submission_id& id) const;

    const schema::entry_settings m_settings;
    common::system_clock m_clock;
    common::secure_random m_random;
    submission::issuer m_ids;
    submission::ledger m_ledger;
    dispatch::dispatcher m_dispatcher;
    telemetry::entry_metrics m_metrics;
    story::story_store m_stories;
    telemetry_observer m_telemetry_observer;
    upstream::requester m_requester;
    home::home m_home;
    platform::client m_platform;
    configuration::holder m_configuration;
    membership::directory m_directory;
    membership::view m_view;
    peer::channel_pool m_channels;
    peer::client m_peers;
    loan::agent m_loans;
    heartbeat_exchange m_heartbeat_exchange;
    handover::successor_registry m_successors;
    handover::inherited_submissions m_inherited;
    handover::client m_handover;
    routing::home_handler m_home_handler;
    std::unique_ptr<grpc::Service> m_forward_service;
    std::unique_ptr<grpc::Service> m_handover_service;
    std::unique_ptr<grpc::Service> m_loan_service;
    std::unique_ptr<grpc::Service> m_membership_service;
    peer::server m_peer_server;
    routing::router m_router;
    claim::claimer m_claimer;
    routing::keyed_router m_keyed_router;
    front::api_server m_front;
    propagation::follower m_follower;
    std::atomic<bool> m_is_stopping{false};
    std::atomic<bool> m_has_shares{false}; // shares of a configuration in force were set
    std::atomic<bool> m_stop_threads{false};
    std::thread m_share_thread;
    std::thread m_tick_thread;
    share_inputs m_share_inputs; // of m_shares; used by m_share_thread only
    absl::flat_hash_map<std::string, std::vector<dispatch::executor_share>>
        m_shares; // as last passed to m_home; used by m_share_thread only
};

} // namespace savorytrail::entry
