// Sends requests to executors; each request in flight occupies one thread of the pool.
#include "core/upstream/requester.h"

#include <algorithm>
#include <utility>

#include "core/http/client.h"

namespace savorytrail::upstream {
namespace {

using submission::task_end;

constexpr int status_server_error = 500;

home::task_outcome to_outcome(const common::result<http::response>& answer,
                              int not_accepted_status) {
    home::task_outcome it;
    if (!answer) {
        const bool nothing_sent = answer.error() == common::error::unreachable;
        it.end = nothing_sent ? task_end::not_started : task_end::unknown;
        return it;
    }
    const int status = answer.value().status;
    it.result = {status, answer.value().body};
    if (not_accepted_status != 0 && status == not_accepted_status)
        it.end = task_end::not_started;
    else
        it.end = status >= status_server_error ? task_end::failed : task_end::answered;
    return it;
}

} // namespace

requester::requester(const common::clock& clock, requester_limits limits, done_handler done)
    : m_clock(clock), m_limits(limits), m_done(std::move(done)), m_pool(limits.max_threads) {}

requester::~requester() = default;

void requester::send(home::outgoing_task task) {
    m_pool.run([this, task = std::move(task)] {
        auto outcome = perform(task);
        m_done(task, std::move(outcome));
    });
}

void requester::shut_down() {
    m_pool.shut_down();
}

home::task_outcome requester::perform(const home::outgoing_task& task) {
    const auto& http_task = task.body->tasks[task.start.task];
    http::request message;
    message.verb = http::method::post;
    message.path = http_task.path;
    message.body = http_task.body;
    message.content_type = "application/octet-stream";
    message.headers = {{"Savory-Task", submission::to_string(task.start.id) + "/" +
                                           std::to_string(task.start.task)}};

    const auto start_time = m_clock.now();
    const auto answer = client_of(*task.start.executor)->send(message, task.timeout);
    auto outcome = to_outcome(answer, task.not_accepted_status);
    outcome.duration = std::chrono::duration_cast<common::milliseconds>(m_clock.now() - start_time);
    return outcome;
}

std::shared_ptr<http::client> requester::client_of(const manifest::executor& executor) {
    const std::size_t max_connections = std::min(executor.slots, executor.connections);
    const std::lock_guard lock(m_mutex);
    auto& it = m_clients[executor.address.to_string()];
    if (!it)
        it = std::make_shared<http::client>(executor.address,
                                            http::client_timeouts{m_limits.connect_timeout});
    it->set_max_connections(max_connections);
    return it;
}

void requester::close_stale() {
    const std::lock_guard lock(m_mutex);
    for (const auto& [address, it] : m_clients)
        it->close_stale();
    absl::erase_if(m_clients, [](const auto& element) {
        const auto& it = element.second;
        return it.use_count() == 1 && it->connections() == 0;
    });
}

} // namespace savorytrail::upstream
