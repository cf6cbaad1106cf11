// HTTP calls of the tests' caller.
#include "integration_tests/caller.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "stand_ins/cluster/http_call.h"

namespace savorytrail::integration {
namespace {

using nlohmann::json;

constexpr common::milliseconds beyond_wait{5000};

std::string echo_of(const json& result) {
    const json body = json::parse(result.value("body", ""), nullptr, false);
    return body.is_object() ? body.value("echo", "") : "";
}

spoken_answer read(const common::result<http::response>& response) {
    spoken_answer it;
    if (!response)
        return it;
    it.status = response.value().status;
    it.text = response.value().body;
    const json body = json::parse(it.text, nullptr, false);
    if (!body.is_object())
        return it;
    it.state = body.value("state", "");
    it.why = body.value("reason", "");
    it.retry_after_ms = body.value("retry_after_ms", 0);
    for (const auto& state : body.value("tasks", json::array()))
        it.task_states.push_back(state.get<std::string>());
    for (const auto& result : body.value("results", json::array()))
        it.echoes.push_back(echo_of(result));
    if (body.contains("error"))
        it.error_field = body["error"].value("field", "");
    return it;
}

std::string job_path(const std::string& id, int wait_ms) {
    return "/v1/jobs/" + id + "?wait_ms=" + std::to_string(wait_ms);
}

} // namespace

std::string job_spec::to_json() const {
    json job = {{"team", team}, {"upstream", upstream}, {"deadline_ms", deadline_ms}};
    for (const auto& it : tasks)
        job["tasks"].push_back({{"path", it.path},
                                {"body", it.body},
                                {"idempotent", it.idempotent},
                                {"expected_ms", it.expected_ms}});
    return job.dump();
}

job_spec make_job(const std::string& name, std::size_t count, int ms) {
    job_spec job;
    for (std::size_t i = 0; i < count; i++)
        job.tasks.push_back(
            {"/work/a?ms=" + std::to_string(ms), name + " " + std::to_string(i), i % 2 == 0, ms});
    return job;
}

std::string new_id(const common::endpoint& entry) {
    const auto response =
        stand_ins::call(entry, http::method::post, "/v1/submission-ids", R"({"count":1})");
    if (!response || response.value().status != 200)
        return "";
    const json body = json::parse(response.value().body, nullptr, false);
    return body.is_object() ? body["ids"][0].get<std::string>() : "";
}

spoken_answer submit(const common::endpoint& entry, const std::string& id, const job_spec& job,
                     int wait_ms) {
    return submit_text(entry, id, job.to_json(), wait_ms);
}

spoken_answer submit_text(const common::endpoint& entry, const std::string& id,
                          const std::string& body, int wait_ms) {
    return read(stand_ins::call(entry, http::method::put, job_path(id, wait_ms), body,
                                common::milliseconds(wait_ms) + beyond_wait));
}

spoken_answer query(const common::endpoint& entry, const std::string& id, int wait_ms) {
    return read(stand_ins::call(entry, http::method::get, job_path(id, wait_ms), "",
                                common::milliseconds(wait_ms) + beyond_wait));
}

spoken_answer cancel(const common::endpoint& entry, const std::string& id) {
    return read(stand_ins::call(entry, http::method::del, "/v1/jobs/" + id));
}

std::future<spoken_answer> submit_later(const common::endpoint& entry, const std::string& id,
                                        const job_spec& job, int wait_ms) {
    return std::async(std::launch::async,
                      [entry, id, job, wait_ms] { return submit(entry, id, job, wait_ms); });
}

spoken_answer submit_until_final(const common::endpoint& entry, const std::string& id,
                                 const job_spec& job, common::milliseconds bound) {
    constexpr common::milliseconds pause{200};
    constexpr int wait_ms = 1000;
    const auto end = std::chrono::steady_clock::now() + bound;
    spoken_answer answer = submit(entry, id, job, wait_ms);
    while (!answer.is_final() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(pause);
        answer = submit(entry, id, job, wait_ms);
    }
    return answer;
}

spoken_answer submit_with_key(const common::endpoint& entry, const std::string& key,
                              const job_spec& job, int wait_ms) {
    const common::milliseconds bound = common::milliseconds(wait_ms) + beyond_wait;
    http::client client(entry, {.connect = bound, .response = bound});
    http::request message;
    message.verb = http::method::post;
    message.path = "/v1/jobs?wait_ms=" + std::to_string(wait_ms);
    message.body = job.to_json();
    if (!key.empty())
        message.headers.emplace_back("Idempotency-Key", key);
    return read(client.send(message));
}

bool is_whole(const spoken_answer& answer, const job_spec& job) {
    if (answer.state != "complete" || answer.echoes.size() != job.tasks.size())
        return false;
    for (std::size_t i = 0; i < job.tasks.size(); i++) {
        if (answer.echoes[i] != job.tasks[i].body)
            return false;
    }
    return true;
}

} // namespace savorytrail::integration
