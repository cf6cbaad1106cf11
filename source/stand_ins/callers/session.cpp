// A caller's calls to its entry.
#include "stand_ins/callers/session.h"

#include <thread>

#include "nlohmann/json.hpp"

namespace savorytrail::stand_ins {
namespace {

using nlohmann::json;

constexpr common::milliseconds connect_bound(1'000);
constexpr common::milliseconds short_call_bound(5'000);
constexpr common::milliseconds answer_allowance(5'000); // beyond the time that the entry may wait
constexpr common::milliseconds default_retry(50);

} // namespace

session::session(const load_options& options, std::size_t entry, message_counts& messages)
    : m_options(options), m_messages(messages), m_entry(entry % options.entries.size()) {
    connect();
}

void session::connect() {
    m_client = std::make_unique<http::client>(
        m_options.entries[m_entry],
        http::client_timeouts{.connect = connect_bound, .response = short_call_bound});
}

void session::fail_over() {
    m_entry = (m_entry + 1) % m_options.entries.size();
    m_ids.clear();
    connect();
}

std::string session::take_id() {
    for (std::size_t i = 0; m_ids.empty() && i < m_options.attempts; i++) {
        if (!fetch_ids())
            fail_over();
    }
    if (m_ids.empty())
        return "";
    auto id = std::move(m_ids.back());
    m_ids.pop_back();
    return id;
}

void session::prepare() {
    if (m_ids.empty())
        fetch_ids();
}

bool session::fetch_ids() {
    m_messages.ids++;
    http::request message;
    message.verb = http::method::post;
    message.path = "/v1/submission-ids";
    message.body = json{{"count", m_options.ids_per_call}}.dump();
    const auto answer = m_client->send(message);
    if (!answer || answer.value().status != 200)
        return false;
    const auto body = json::parse(answer.value().body, nullptr, false);
    if (!body.is_object() || !body.contains("ids") || !body["ids"].is_array())
        return false;
    for (const auto& it : body["ids"]) {
        if (it.is_string())
            m_ids.push_back(it.get<std::string>());
    }
    return !m_ids.empty();
}

checked_answer session::submit(const generated_job& job, const std::string& id) {
    checked_answer answer;
    for (std::size_t i = 0; i < m_options.attempts; i++) {
        answer = try_submit(job, id);
        if (is_final(answer.state) || !answer.is_sound() || i + 1 == m_options.attempts)
            break;
        const bool told_when = answer.retry_after > common::milliseconds(0);
        std::this_thread::sleep_for(told_when ? answer.retry_after : default_retry);
        if (answer.state == answer_state::no_answer)
            fail_over();
    }
    return answer;
}

checked_answer session::try_submit(const generated_job& job, const std::string& id) {
    m_messages.submissions++;
    const auto wait_ms = m_options.jobs.deadline_ms;
    http::request message;
    message.verb = http::method::put;
    message.path = "/v1/jobs/" + id + "?wait_ms=" + std::to_string(wait_ms);
    message.body = job.text;
    const auto answer = m_client->send(message, common::milliseconds(wait_ms) + answer_allowance);
    if (!answer) {
        checked_answer none;
        none.problem = answer.error().message();
        return none;
    }
    return check_answer(job, id, answer.value().status, answer.value().body);
}

void session::cancel(const std::string& id) {
    m_messages.cancellations++;
    http::request message;
    message.verb = http::method::del;
    message.path = "/v1/jobs/" + id;
    if (!m_client->send(message))
        fail_over();
}

} // namespace savorytrail::stand_ins
