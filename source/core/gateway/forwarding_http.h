// Forwards jobs between entries over HTTP: client and server side. A connection carries one job at
// a time; when it closes before the outcome is sent, the server side stops the job.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "core/gateway/gateway.h"
#include "core/reactor/http_client.h"
#include "core/reactor/http_server.h"

namespace savorytrail::gateway {

class http_forwarding_client final : public forwarding_client {
public:
    http_forwarding_client(reactor::http_client& client, std::string self)
        : m_client(client), m_self(std::move(self)) {}

    canceller forward(const common::endpoint& to, const work::job& job, callback done) override;
    void abandon(const common::endpoint& to, const std::string& job) override;

private:
    reactor::http_client& m_client;
    const std::string m_self;
};

// The server side, on the entry whose dispatcher gets the job.
class forwarding_service {
public:
    forwarding_service(const common::clock& clock, fleet::view& view, cell::dispatcher& own,
                       cell::job_observer& observer)
        : m_clock(clock), m_view(view), m_own(own), m_observer(observer) {}

    // Returns false when the request is not for this service.
    bool handle(const reactor::http_request& request,
                const std::shared_ptr<reactor::responder>& answer);
    // To be called about every 50 ms: keeps the links to the entries whose jobs are here.
    void tick();
    // Drops the jobs that the entry forwarded: it no longer waits for their outcomes.
    void on_entry_lost(const std::string& name);

private:
    struct received_job {
        std::string from;
        std::string job;
        std::uint64_t ticket = 0;
    };

    void accept(const reactor::http_request& request,
                const std::shared_ptr<reactor::responder>& answer);
    // `reason`: for the log.
    void drop(std::uint64_t number, std::string_view reason);
    void drop_if(const std::function<bool(const received_job&)>& matches, std::string_view reason);
    std::string describe_heartbeat(const std::string& entry) const;

    const common::clock& m_clock;
    fleet::view& m_view;
    cell::dispatcher& m_own;
    cell::job_observer& m_observer;
    std::map<std::uint64_t, received_job> m_open;
    std::uint64_t m_next_number = 1;
};

} // namespace savorytrail::gateway
