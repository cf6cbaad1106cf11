// Cancels jobs on request of callers. A job may be at any entries of the fleet: at the one that
// holds its caller and at the one that dispatches it. So an entry that is asked to cancel one asks
// all others, and confirms only what some entry has carried out. A cancelled job that is sent
// again, as its caller may not have been told, is not run. Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/cell/lru_map.h"
#include "core/common/error.h"
#include "core/fleet/view.h"
#include "core/gateway/forwarding_service.h"
#include "core/gateway/gateway.h"

namespace savorytrail::gateway {

// Passes cancellations on to other entries.
class cancel_client {
public:
    // Whether the job was open there, and has been ended.
    using callback = std::function<void(common::result<bool>)>;

    virtual ~cancel_client() = default;
    virtual void cancel(const common::endpoint& to, const cancelled_job& it, callback done) = 0;

protected:
    cancel_client() = default;
    cancel_client(const cancel_client&) = default;
    cancel_client& operator=(const cancel_client&) = default;
};

enum class cancel_result {
    cancelled,
    not_open,    // no entry has such a job
    unconfirmed, // some entry has not answered, and no other one had the job
};

std::string_view to_string(cancel_result it);

struct canceller_limits {
    std::size_t max_pending = 64;      // cancellations whose answers are outstanding
    std::size_t max_remembered = 8192; // cancelled jobs
    // How long a cancelled job is not run when it is sent again. Longer than callers wait before
    // they send a job again.
    common::milliseconds remembered_for{30000};

    bool operator==(const canceller_limits&) const = default;
};

class job_canceller {
public:
    using callback = std::function<void(cancel_result)>;

    job_canceller(const common::clock& clock, const fleet::view& view, gateway& callers,
                  forwarding_service& dispatched, cancel_client& client,
                  canceller_limits limits = {})
        : m_clock(clock), m_view(view), m_callers(callers), m_dispatched(dispatched),
          m_client(client), m_limits(limits), m_cancelled(limits.max_remembered) {}

    // Cancels the job wherever it is. `done` is called once, possibly before this returns.
    void cancel(const cancelled_job& it, callback done);
    // The same for what is at this entry. Returns whether the job was.
    bool cancel_here(const cancelled_job& it);
    // Whether the job was cancelled not long ago, so that it must not run.
    bool was_cancelled(const cancelled_job& it) const;

    // Answers a request of another entry. Returns false when it is not for this service.
    bool handle(const reactor::http_request& request,
                const std::shared_ptr<reactor::responder>& answer);

private:
    // The answers to one cancellation.
    struct poll {
        callback done; // null once it has been called
        std::size_t outstanding = 0;
        bool has_failed = false; // some entry has not answered
    };

    void on_answer(poll& it, const common::result<bool>& was_open);
    static void finish(poll& it, cancel_result result);

    const common::clock& m_clock;
    const fleet::view& m_view;
    gateway& m_callers;
    forwarding_service& m_dispatched;
    cancel_client& m_client;
    const canceller_limits m_limits;
    std::size_t m_pending = 0;
    cell::lru_map<std::string, common::time_point> m_cancelled; // when, by id and queue
};

} // namespace savorytrail::gateway
