#include "core/gateway/pass_http.h"

#include "core/gateway/pass_codec.h"

namespace savorytrail::gateway {
namespace {

constexpr const char* job_path = "/jobs";
constexpr const char* abandon_path = "/abandoned";
constexpr const char* protobuf_type = "application/x-protobuf";
// On top of the job's patience, which the dispatcher keeps to.
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

pass_link::canceller http_pass_link::pass(const common::endpoint& to, const work::job& job,
                                          callback done) {
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

void http_pass_link::abandon(const common::endpoint& to, const std::string& job) {
    // Best effort: the receiver also sees the connection end, or misses this entry's beats.
    m_client.send(to, post(abandon_path, encode(abandoned_job{job, m_self})), abandon_timeout,
                  [](const auto&) {});
}

bool pass_service::handle(const reactor::http_request& request,
                          const std::shared_ptr<reactor::responder>& answer) {
    if (request.method != "POST") {
        return false;
    }
    if (request.target == job_path) {
        take(request, answer);
        return true;
    }
    if (request.target != abandon_path) {
        return false;
    }
    if (const auto it = decode_abandoned(request.body)) {
        drop_if([&](const open_pass& open) { return open.job == it->id && open.from == it->from; });
    }
    answer->send({200, {}, "", protobuf_type});
    return true;
}

void pass_service::take(const reactor::http_request& request,
                        const std::shared_ptr<reactor::responder>& answer) {
    auto passed = decode_job(request.body);
    if (!passed) {
        answer->send({400, {}, "", protobuf_type});
        return;
    }
    const auto number = m_next++;
    m_open[number] = {passed->from, passed->job.id, 0};
    const auto ticket = m_own.submit(passed->job, [this, number, answer](const work::outcome& it) {
        m_open.erase(number);
        answer->send({200, {}, encode(it), protobuf_type});
    });
    if (const auto it = m_open.find(number); it != m_open.end()) {
        it->second.ticket = ticket;
        answer->on_disconnect([this, number] { drop(number); });
    }
}

void pass_service::drop(std::uint64_t pass) {
    const auto it = m_open.find(pass);
    if (it == m_open.end()) {
        return;
    }
    const auto ticket = it->second.ticket;
    m_open.erase(it);
    m_own.abandon(ticket);
}

void pass_service::on_entry_lost(const std::string& name) {
    drop_if([&](const open_pass& open) { return open.from == name; });
}

void pass_service::drop_if(const std::function<bool(const open_pass&)>& is_over) {
    std::vector<std::uint64_t> passes;
    for (const auto& [number, it] : m_open) {
        if (is_over(it)) {
            passes.push_back(number);
        }
    }
    for (const auto number : passes) {
        drop(number);
    }
}

} // namespace savorytrail::gateway
