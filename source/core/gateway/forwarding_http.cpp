#include "core/gateway/forwarding_http.h"

#include "core/fleet/describe_link.h"
#include "core/gateway/forwarding_codec.h"

namespace savorytrail::gateway {
namespace {

constexpr const char* job_path = "/jobs";
constexpr const char* abandon_path = "/abandoned";
constexpr const char* protobuf_type = "application/x-protobuf";
// Added to the job's patience, within which the dispatcher answers.
constexpr common::milliseconds outcome_slack{200};
constexpr common::milliseconds abandon_timeout{300};

reactor::http_request post(const char* path, std::string body) {
    reactor::http_request request;
    request.method = "POST";
    request.target = path;
    request.headers = {{"Content-Type", protobuf_type}};
    request.body = std::move(body);
    return request;
}

} // namespace

forwarding_client::canceller http_forwarding_client::forward(const common::endpoint& to,
                                                             const work::job& job, callback done) {
    return m_client.send(
        to, post(job_path, encode(passed_job{job, m_self})), job.patience + outcome_slack,
        [done = std::move(done)](const common::result<reactor::http_response>& it) {
            if (!it) {
                done(it.error());
                return;
            }
            const auto outcome = decode_outcome(it.value().body);
            if (it.value().status != 200 || !outcome) {
                done(make_error_code(common::error::malformed));
                return;
            }
            done(*outcome);
        });
}

void http_forwarding_client::abandon(const common::endpoint& to, const std::string& job) {
    // Best effort: the receiver also sees the connection close, or misses this entry's heartbeats.
    m_client.send(to, post(abandon_path, encode(abandoned_job{job, m_self})), abandon_timeout,
                  [](const auto&) {});
}

bool forwarding_service::handle(const reactor::http_request& request,
                                const std::shared_ptr<reactor::responder>& answer) {
    if (request.method != "POST") {
        return false;
    }
    if (request.target == job_path) {
        accept(request, answer);
        return true;
    }
    if (request.target != abandon_path) {
        return false;
    }
    if (const auto it = decode_abandoned(request.body)) {
        drop_if(
            [&](const received_job& open) { return open.job == it->id && open.from == it->from; },
            "abandoned by that entry");
    }
    answer->send({200, {}, "", protobuf_type});
    return true;
}

void forwarding_service::accept(const reactor::http_request& request,
                                const std::shared_ptr<reactor::responder>& answer) {
    auto passed = decode_job(request.body);
    if (!passed) {
        answer->send({400, {}, "", protobuf_type});
        return;
    }
    const auto number = m_next_number++;
    const received_job received{passed->from, passed->job.id, 0};
    m_observer.job_event(received.job, "job_received",
                         received.from + ": " + describe_heartbeat(received.from));
    m_view.note_in_use(passed->from, m_clock.now());
    m_open[number] = received;
    const auto ticket = m_own.submit(passed->job, [this, number, answer](const work::outcome& it) {
        m_open.erase(number);
        answer->send({200, {}, encode(it), protobuf_type});
    });
    if (const auto it = m_open.find(number); it != m_open.end()) {
        it->second.ticket = ticket;
        answer->on_disconnect([this, number] { drop(number, "connection ended"); });
    }
}

std::string forwarding_service::describe_heartbeat(const std::string& entry) const {
    return fleet::describe_last_heartbeat(m_view, entry, m_clock.now());
}

void forwarding_service::drop(std::uint64_t number, std::string_view reason) {
    const auto it = m_open.find(number);
    if (it == m_open.end()) {
        return;
    }
    const received_job dropped = it->second;
    m_open.erase(it);
    m_observer.job_event(dropped.job, "job_dropped",
                         dropped.from + ": " + std::string(reason) + ", " +
                             describe_heartbeat(dropped.from));
    m_own.abandon(dropped.ticket);
}

void forwarding_service::tick() {
    for (const auto& [number, it] : m_open) {
        m_view.note_in_use(it.from, m_clock.now());
    }
}

void forwarding_service::on_entry_lost(const std::string& name) {
    drop_if([&](const received_job& open) { return open.from == name; }, "entry lost");
}

void forwarding_service::drop_if(const std::function<bool(const received_job&)>& matches,
                                 std::string_view reason) {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, it] : m_open) {
        if (matches(it)) {
            numbers.push_back(number);
        }
    }
    for (const auto number : numbers) {
        drop(number, reason);
    }
}

} // namespace savorytrail::gateway
