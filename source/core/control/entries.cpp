// Queries each entry in a thread of its own, so that the timeouts of unreachable entries overlap.
#include "core/control/entries.h"

#include <future>
#include <nlohmann/json.hpp>

namespace savorytrail::control {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;

entry_status failed(const common::endpoint& address, std::error_code ec) {
    entry_status result;
    result.address = address;
    result.failure = ec;
    return result;
}

entry_status read_status(const common::endpoint& address, const std::string& body) {
    try {
        const json from = json::parse(body);
        entry_status result;
        result.address = address;
        result.vm = from.at("vm");
        result.failure_domain = from.at("failure_domain");
        result.incarnation = from.value("incarnation", "");
        result.ready = from.at("ready");
        result.configuration_version = from.at("configuration_version");
        result.queued_tasks = from.value("queued_tasks", std::uint64_t{0});
        result.running_tasks = from.value("running_tasks", std::uint64_t{0});
        result.body = body;
        return result;
    } catch (const json::exception&) {
        return failed(address, make_error_code(common::error::malformed));
    }
}

entry_status query_entry(const common::endpoint& address, environment& env) {
    const auto answer = env.get(address, "/v1/status");
    if (!answer)
        return failed(address, answer.error());
    if (answer.value().status != status_ok)
        return failed(address, make_error_code(common::error::unavailable));
    return read_status(address, answer.value().body);
}

} // namespace

std::vector<entry_status> query_entries(const std::vector<common::endpoint>& entries,
                                        environment& env) {
    std::vector<std::future<entry_status>> pending;
    pending.reserve(entries.size());
    for (const common::endpoint& it : entries)
        pending.push_back(std::async(std::launch::async, query_entry, it, std::ref(env)));
    std::vector<entry_status> result;
    result.reserve(entries.size());
    for (auto& it : pending)
        result.push_back(it.get());
    return result;
}

} // namespace savorytrail::control
