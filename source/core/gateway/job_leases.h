// A dispatcher's record of the leases of jobs that other entries have forwarded to it. The entry
// that holds a job's caller grants the lease, and the dispatcher runs the job no longer than that:
// when the entry gives the job up, fails or is cut off, it is certain that the job's runs end
// within `lease` of the last time that it granted one, whether or not the dispatcher learns why.
//
// A lease is measured from when the dispatcher asked for it, on the dispatcher's own clock. Silence
// therefore never extends it, and neither does a message that was held up. Not thread-safe.
#pragma once

#include <map>
#include <vector>

#include "core/gateway/lease_messages.h"

namespace savorytrail::gateway {

// One forward of a job.
struct forward_id {
    std::string entry; // name of the entry that holds the caller
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const forward_id&) const = default;
};

class job_leases {
public:
    // `self` and `incarnation` are those of this entry.
    job_leases(const common::clock& clock, std::string self, std::uint64_t incarnation,
               common::milliseconds lease);

    // Until when the job may run that an entry sent with this stamp; the current time if the stamp
    // proves nothing.
    common::time_point held_until(const std::optional<lease_stamp>& stamp) const;

    void add(const forward_id& it, common::time_point held_until);
    void remove(const forward_id& it);

    struct addressed_request {
        std::string entry;
        lease_request request;
    };
    // The requests to send now; to be called about every 50 ms, and after a job has been added.
    std::vector<addressed_request> due();

    struct renewals {
        std::vector<forward_id> held;
        std::vector<forward_id> released; // their callers do not wait any more
        common::time_point held_until;
    };
    renewals receive(const lease_answer& it) const;
    // Notes the end of a lease that was renewed.
    void renew(const forward_id& it, common::time_point held_until);

private:
    struct holder {
        std::optional<common::time_point> asked_at; // for all
        std::vector<std::uint64_t> unasked;         // new ones, of which nothing starts before
        std::map<std::uint64_t, common::time_point> held_until; // by number of the forward
    };
    using holder_key = std::pair<std::string, std::uint64_t>; // name and incarnation

    // Includes the time for which the VM was suspended.
    common::milliseconds reading() const;
    bool is_due(const holder& it, common::time_point now) const;
    // Appends requests for these forwards, as many as their numbers need.
    void add_requests(std::vector<addressed_request>& list, const holder_key& of,
                      const std::vector<std::uint64_t>& numbers) const;

    const common::clock& m_clock;
    const std::string m_self;
    const std::uint64_t m_incarnation;
    const common::milliseconds m_lease;
    std::map<holder_key, holder> m_holders;
};

} // namespace savorytrail::gateway
