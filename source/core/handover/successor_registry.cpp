// Cache of announced and published successors.
#include "core/handover/successor_registry.h"

#include <nlohmann/json.hpp>

namespace savorytrail::handover {
namespace {

constexpr const char* row_prefix = "heir/";
constexpr std::size_t max_cached_successors = 10000;
constexpr common::milliseconds missing_row_cache_time{1000};
constexpr common::milliseconds row_cache_time{600000};
constexpr std::chrono::hours row_retention{24};

std::string row_key(const submission::incarnation& stopped) {
    return row_prefix + submission::to_string(stopped);
}

std::int64_t seconds_of(std::chrono::system_clock::time_point wall_time) {
    return std::chrono::duration_cast<std::chrono::seconds>(wall_time.time_since_epoch()).count();
}

std::string row_value(const successor_entry& it,
                      std::chrono::system_clock::time_point delete_after) {
    const nlohmann::json value = {{"vm", it.vm},
                                  {"address", it.address.to_string()},
                                  {"incarnation", submission::to_string(it.incarnation)},
                                  {"delete_after_s", seconds_of(delete_after)}};
    return value.dump();
}

std::optional<successor_entry> read_row(const std::string& text) {
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    const auto address = common::parse_endpoint(value.value("address", ""));
    const auto incarnation = submission::parse_incarnation(value.value("incarnation", ""));
    if (!address || !incarnation)
        return std::nullopt;
    return successor_entry{value.value("vm", ""), *address, *incarnation};
}

bool may_be_deleted(const std::string& text, std::chrono::system_clock::time_point wall_time) {
    const auto value = nlohmann::json::parse(text, nullptr, false);
    return value.is_object() && value.contains("delete_after_s") &&
           value["delete_after_s"].is_number_integer() &&
           value["delete_after_s"].get<std::int64_t>() < seconds_of(wall_time);
}

} // namespace

void successor_registry::announce(const std::vector<successor_notice>& notices) {
    for (const auto& it : notices)
        remember(it.stopped, {it.successor, m_clock.now() + it.lifetime});
}

std::optional<successor_entry> successor_registry::known(const submission::incarnation& stopped) {
    const std::lock_guard lock(m_mutex);
    const auto it = m_cache.find(stopped);
    if (it == m_cache.end() || m_clock.now() >= it->second.expiry)
        return std::nullopt;
    return it->second.successor;
}

std::optional<successor_entry> successor_registry::look_up(const submission::incarnation& stopped) {
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_cache.find(stopped);
        if (it != m_cache.end() && m_clock.now() < it->second.expiry)
            return it->second.successor;
    }
    const auto read = m_table.read_newer(row_key(stopped), 0);
    if (read && read.value()) {
        auto successor = read_row(read.value()->value);
        remember(stopped, {successor, m_clock.now() + row_cache_time});
        return successor;
    }
    remember(stopped, {std::nullopt, m_clock.now() + missing_row_cache_time});
    return std::nullopt;
}

common::result<void> successor_registry::publish(const std::vector<successor_notice>& notices,
                                                 std::chrono::system_clock::time_point wall_time) {
    std::vector<platform::operation> operations;
    for (const auto& it : notices) {
        const auto delete_after = wall_time + it.lifetime + row_retention;
        operations.push_back(
            {row_key(it.stopped), platform::any_version, row_value(it.successor, delete_after)});
    }
    if (const auto rows = m_table.list(row_prefix)) {
        for (const auto& it : rows.value()) {
            if (may_be_deleted(it.value, wall_time))
                operations.push_back({it.key, platform::any_version, std::nullopt});
        }
    }
    const auto outcome = m_table.commit(operations);
    if (!outcome)
        return outcome.error();
    return common::result<void>(boost::outcome_v2::success());
}

void successor_registry::forget_expired() {
    const std::lock_guard lock(m_mutex);
    const auto now = m_clock.now();
    absl::erase_if(m_cache, [now](const auto& it) { return now >= it.second.expiry; });
}

void successor_registry::remember(const submission::incarnation& stopped, cached_successor it) {
    const std::lock_guard lock(m_mutex);
    if (m_cache.size() < max_cached_successors || m_cache.contains(stopped))
        m_cache[stopped] = std::move(it);
}

} // namespace savorytrail::handover
