// The dispatcher's side of forwarded jobs: takes them from other entries over HTTP, and sends their
// outcomes. As a connection may end without a trace, a job runs only as long as the entry that
// holds its caller grants it a lease (job_leases.h). Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "core/cell/dispatcher.h"
#include "core/fleet/view.h"
#include "core/gateway/forwarding_codec.h"
#include "core/gateway/job_leases.h"
#include "core/reactor/http_server.h"

namespace savorytrail::gateway {

class forwarding_service {
public:
    // Sends a datagram to the peer endpoint of the entry with this name; best effort.
    using datagram_sender = std::function<void(const std::string& entry, const std::string& bytes)>;

    forwarding_service(const common::clock& clock, fleet::view& view, cell::dispatcher& own,
                       cell::job_observer& observer, common::milliseconds job_lease,
                       datagram_sender send)
        : m_clock(clock), m_view(view), m_own(own), m_observer(observer),
          m_leases(clock, view.self().name, view.self().incarnation, job_lease),
          m_send(std::move(send)) {}

    // Returns false when the request is not for this service.
    bool handle(const reactor::http_request& request,
                const std::shared_ptr<reactor::responder>& answer);
    // Ends the job for good, and answers the entries that passed it on so. Returns whether there
    // was such a job here.
    bool cancel(const cancelled_job& it);
    void receive(const lease_answer& it);
    // To be called about every 50 ms: keeps the links to the entries whose jobs are here, and
    // renews the leases of these jobs.
    void tick();
    // Drops the jobs of an entry that grants no leases.
    void on_entry_lost(const std::string& name);

private:
    struct received_job {
        forward_id forward; // number 0: of an entry that grants no leases
        std::string job;
        std::string queue;
        std::uint64_t ticket = 0;
        std::shared_ptr<reactor::responder> answer;
    };

    void accept(const reactor::http_request& request,
                const std::shared_ptr<reactor::responder>& answer);
    std::uint64_t submit(const passed_job& it, cell::done_callback done);
    void request_leases();
    // The number in m_open of a forward whose job is here.
    std::optional<std::uint64_t> find(const forward_id& it) const;
    void close(std::uint64_t number);
    // `reason`: for the log. `end`: what the entry that passed the job on is told, if it listens.
    void drop(std::uint64_t number, std::string_view reason,
              work::job_end end = work::job_end::given_up);
    // Returns how many were dropped.
    std::size_t drop_if(const std::function<bool(const received_job&)>& matches,
                        std::string_view reason, work::job_end end = work::job_end::given_up);
    // For the log: what is known of the entry that holds a job's caller.
    std::string describe_heartbeat(const std::string& entry) const;
    std::string describe_holder(const passed_job& it) const;

    const common::clock& m_clock;
    fleet::view& m_view;
    cell::dispatcher& m_own;
    cell::job_observer& m_observer;
    job_leases m_leases;
    const datagram_sender m_send;
    std::map<std::uint64_t, received_job> m_open;
    std::map<forward_id, std::uint64_t> m_by_forward; // numbers in m_open
    std::uint64_t m_next_number = 1;
};

} // namespace savorytrail::gateway
