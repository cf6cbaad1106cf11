// Runs the loans of one entry: serves peers' requests, sends its own, and hands the starts that
// follow to the home. Which peers have idle slots comes from membership, by set_offers().
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/common/endpoint.h"
#include "core/loan/borrower.h"
#include "core/loan/lender.h"
#include "core/manifest/manifest.h"
#include "core/peer/channel_pool.h"

namespace grpc {
class Service;
}

namespace savorytrail::loan {

struct agent_options {
    std::string vm;
    submission::incarnation incarnation;
    common::milliseconds call_timeout{1000};
};

// What the agent needs of the rest of the entry.
struct agent_hooks {
    std::function<void(std::vector<dispatch::task_start>)> begin; // sends starts
    std::function<std::optional<common::endpoint>(const std::string& vm)> address_of;
    // False for a VM that is leaving: loans on its executors end.
    std::function<bool(const std::string& vm)> takes_new_work;
    std::function<void()> count_request = [] {}; // called for each request to a peer
};

class agent {
public:
    agent(dispatch::dispatcher& dispatcher, peer::channel_pool& channels,
          const common::clock& clock, agent_options options, agent_hooks hooks);
    ~agent();
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;

    // The service for peers' requests. It must not outlive the agent.
    std::unique_ptr<grpc::Service> make_service();

    void apply(std::shared_ptr<const manifest::manifest> manifest);
    // What peers can lend, from their heartbeats. To be called at least every few seconds, since it
    // also ends loans on executors that are gone or leaving.
    void set_offers(const std::vector<offer>& offers);
    // What this entry can lend, for its heartbeats.
    std::vector<offer> own_offers() const;

    void start();
    // Waits for the calls that are out.
    void stop();

    // Answers a peer; nullopt when the manifest has no such upstream.
    std::optional<loan_reply> handle(const loan_request& request);

    std::size_t lent_slots() const { return m_lender.lent_slots(); }
    std::size_t borrowed_slots() const { return m_borrower.borrowed_slots(); }

private:
    struct call;

    void run();
    void wake();
    void send(const exchange& it);
    void finish(const call& it, bool is_answered);
    std::optional<manifest::executor> find(const std::string& upstream,
                                           const std::string& executor) const;
    std::shared_ptr<const manifest::manifest> current_manifest() const;

    dispatch::dispatcher& m_dispatcher;
    peer::channel_pool& m_channels;
    const common::clock& m_clock;
    const agent_options m_options;
    const agent_hooks m_hooks;
    lender m_lender;
    borrower m_borrower;
    mutable std::mutex m_manifest_mutex;
    std::shared_ptr<const manifest::manifest> m_manifest; // guarded by m_manifest_mutex
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_woken = false;     // guarded by m_mutex
    bool m_is_stopping = false;  // guarded by m_mutex
    std::size_t m_calls_out = 0; // guarded by m_mutex
    std::thread m_thread;
};

} // namespace savorytrail::loan
