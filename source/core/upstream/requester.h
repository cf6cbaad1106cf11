// Sends tasks to executors over HTTP and reports their outcomes. It never sends a task twice, and
// opens at most as many connections to an executor as the executor has slots.
#pragma once

#include <memory>
#include <mutex>

#include "absl/container/flat_hash_map.h"
#include "core/common/clock.h"
#include "core/common/thread_pool.h"
#include "core/home/home.h"
#include "core/manifest/manifest.h"

namespace savorytrail::http {
class client;
}

namespace savorytrail::upstream {

struct requester_limits {
    std::size_t max_threads = 512; // requests in flight
    common::milliseconds connect_timeout{500};

    bool operator==(const requester_limits&) const = default;
};

class requester {
public:
    using done_handler = std::function<void(const home::outgoing_task&, home::task_outcome)>;

    requester(const common::clock& clock, requester_limits limits, done_handler done);
    ~requester();
    requester(const requester&) = delete;
    requester& operator=(const requester&) = delete;

    // Queues a task for sending. The done handler is called exactly once, from a pool thread.
    void send(home::outgoing_task task);

    // Closes connections that have been idle for too long. To be called periodically.
    void close_stale();

    // Waits for the requests in flight to end.
    void shut_down();

private:
    home::task_outcome perform(const home::outgoing_task& task);
    std::shared_ptr<http::client> client_of(const manifest::executor& executor);

    const common::clock& m_clock;
    const requester_limits m_limits;
    const done_handler m_done;
    std::mutex m_mutex;
    absl::flat_hash_map<std::string, std::shared_ptr<http::client>> m_clients; // guarded by m_mutex
    common::thread_pool m_pool;
};

} // namespace savorytrail::upstream
