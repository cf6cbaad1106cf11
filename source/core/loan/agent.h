// Manages the slot loans of one entry: serves requests of peers, sends its own, and passes the task
// starts that result to the home. Membership reports the peers with idle slots by set_offers().
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

// Callbacks into the rest of the entry.
struct agent_hooks {
    std::function<void(std::vector<dispatch::task_start>)> send_starts;
    std::function<std::optional<common::endpoint>(const std::string& vm)> address_of;
    // False for a VM that is being removed: loans on its executors end.
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

    // Makes the gRPC service for requests of peers. It must not outlive the agent.
    std::unique_ptr<grpc::Service> make_service();

    void apply(std::shared_ptr<const manifest::manifest> manifest);
    // Sets what peers can lend, from their heartbeats. Call this at least every few seconds, since
    // it also ends loans on executors that are gone or being removed.
    void set_offers(const std::vector<offer>& offers);
    // Returns what this entry can lend, for its heartbeats.
    std::vector<offer> own_offers() const;

    void start();
    // Waits for pending calls.
    void stop();

    // Handles a request of a peer; nullopt when the manifest has no such upstream.
    std::optional<loan_reply> handle(const loan_request& request);

    std::size_t lent_slots() const { return m_lender.lent_slots(); }
    std::size_t borrowed_slots() const { return m_borrower.borrowed_slots(); }

private:
    struct call;

    void run();
    void wake();
    void send(const exchange& it);
    void finish(const call& it, bool is_answered);
    std::optional<manifest::executor> find_executor(const std::string& upstream,
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
    bool m_is_woken = false;         // guarded by m_mutex
    bool m_is_stopping = false;      // guarded by m_mutex
    std::size_t m_pending_calls = 0; // guarded by m_mutex
    std::thread m_thread;
};

} // namespace savorytrail::loan
