#include "core/fleet/heartbeat.h"

#include <algorithm>
#include <cmath>

#include "core/common/rendezvous.h"
#include "fleet.pb.h"

namespace savorytrail::fleet {
namespace {

using common::milliseconds;

constexpr std::uint32_t heartbeat_magic = 0x73764232;

std::uint32_t to_message(milliseconds it) {
    return static_cast<std::uint32_t>(std::max<std::int64_t>(it.count(), 0));
}

void to_message(const entry_identity& it, schema::entry_identity& message) {
    message.set_name(it.name);
    message.set_failure_domain(it.failure_domain);
    message.set_host(it.host);
    message.set_incarnation(it.incarnation);
    message.set_cpu_share_millis(it.cpu_share_millis);
}

void to_message(const entry_status& it, schema::entry_status& message) {
    message.set_sequence(it.sequence);
    message.set_is_leaving(it.is_leaving);
    message.set_knows_executors(it.knows_executors);
    message.set_configuration_version(it.configuration_version);
    message.set_executor_list_version(it.executor_list_version);
    message.set_domain_executors(it.domain_executors);
    if (it.store_age) {
        message.set_store_age_ms(to_message(*it.store_age));
    }
    message.set_capacity_cpu_millis(it.load.capacity_cpu_millis);
    message.set_free_cpu_millis(it.load.free_cpu_millis);
    message.set_backlog_ms(it.load.backlog_ms);
    for (const auto key : it.adopted) {
        message.add_adopted(key);
    }
    if (it.configuration_age) {
        message.set_configuration_age_ms(to_message(*it.configuration_age));
    }
    if (it.executor_list_age) {
        message.set_executor_list_age_ms(to_message(*it.executor_list_age));
    }
}

entry_identity from_message(const schema::entry_identity& message) {
    return {message.name(), message.failure_domain(), message.host(), message.incarnation(),
            message.cpu_share_millis()};
}

entry_status from_message(const schema::entry_status& message) {
    entry_status it;
    it.sequence = message.sequence();
    it.is_leaving = message.is_leaving();
    it.knows_executors = message.knows_executors();
    it.configuration_version = message.configuration_version();
    it.executor_list_version = message.executor_list_version();
    it.domain_executors = message.domain_executors();
    if (message.has_store_age_ms()) {
        it.store_age = milliseconds(message.store_age_ms());
    }
    it.load = {message.capacity_cpu_millis(), message.free_cpu_millis(), message.backlog_ms()};
    it.adopted.assign(message.adopted().begin(), message.adopted().end());
    if (message.has_configuration_age_ms()) {
        it.configuration_age = milliseconds(message.configuration_age_ms());
    }
    if (message.has_executor_list_age_ms()) {
        it.executor_list_age = milliseconds(message.executor_list_age_ms());
    }
    return it;
}

entry_news from_message(const schema::entry_news& message) {
    entry_news it;
    it.key = message.key();
    if (message.has_identity()) {
        it.identity = from_message(message.identity());
    }
    it.status = from_message(message.status());
    it.age = milliseconds(message.age_ms());
    return it;
}

// Logarithms travel in thousandths.
constexpr double log_scale = 1000;
// A factor of e^20 is no speed or slowdown; the bound keeps the number in the field's range.
constexpr double max_log = 20;

std::int32_t to_thousandths(double log) {
    const double bounded = std::isfinite(log) ? std::clamp(log, -max_log, max_log) : 0;
    return static_cast<std::int32_t>(std::lround(bounded * log_scale));
}

void to_message(const shared_state& it, schema::entry_heartbeat& message) {
    message.set_drains_version(it.drains.version);
    for (const auto& domain : it.drains.domains) {
        auto* item = message.add_drained();
        item->set_name(domain.name);
        item->set_known_for_ms(to_message(domain.known_for));
    }
    for (const auto& speed : it.kind_speeds) {
        auto* item = message.add_kind_speeds();
        item->set_kind(speed.kind);
        item->set_log_speed_thousandths(to_thousandths(speed.log_speed));
        item->set_weight(speed.weight);
    }
    for (const auto& pair : it.interference) {
        auto* item = message.add_interference();
        item->set_kind(pair.kind);
        item->set_neighbour(pair.neighbour);
        item->set_log_slowdown_thousandths(to_thousandths(pair.log_slowdown));
        item->set_weight(pair.weight);
    }
    for (const auto& crashes : it.crashes) {
        auto* item = message.add_crashes();
        item->set_task(crashes.task);
        item->mutable_executors()->Add(crashes.executors.begin(), crashes.executors.end());
        item->set_age_ms(to_message(crashes.age));
        item->set_is_suspect(crashes.is_suspect);
        item->set_is_proven(crashes.is_proven);
    }
}

shared_state shared_from(const schema::entry_heartbeat& message) {
    shared_state it;
    it.drains.version = message.drains_version();
    for (const auto& item : message.drained()) {
        it.drains.domains.push_back({item.name(), milliseconds(item.known_for_ms())});
    }
    for (const auto& item : message.kind_speeds()) {
        it.kind_speeds.push_back(
            {item.kind(), item.log_speed_thousandths() / log_scale, item.weight()});
    }
    for (const auto& item : message.interference()) {
        it.interference.push_back({item.kind(), item.neighbour(),
                                   item.log_slowdown_thousandths() / log_scale, item.weight()});
    }
    for (const auto& item : message.crashes()) {
        it.crashes.push_back({item.task(),
                              {item.executors().begin(), item.executors().end()},
                              milliseconds(item.age_ms()),
                              item.is_suspect(),
                              item.is_proven()});
    }
    return it;
}

} // namespace

std::uint64_t entry_key(const entry_identity& it) {
    return common::rendezvous_weight(std::to_string(it.incarnation), it.name);
}

std::uint64_t executor_key(const std::string& id) {
    return common::rendezvous_weight("executor", id);
}

std::string encode(const heartbeat& it) {
    schema::entry_heartbeat message;
    message.set_magic(heartbeat_magic);
    to_message(it.sender, *message.mutable_sender());
    to_message(it.status, *message.mutable_status());
    for (const auto key : it.held) {
        message.add_held(key);
    }
    if (it.heard_recipient) {
        message.set_heard_recipient_ms(to_message(*it.heard_recipient));
    }
    message.set_wanted_interval_ms(to_message(it.wanted_interval));
    for (const auto& news : it.news) {
        auto* item = message.add_news();
        item->set_key(news.key);
        if (news.identity) {
            to_message(*news.identity, *item->mutable_identity());
        }
        to_message(news.status, *item->mutable_status());
        item->set_age_ms(to_message(news.age));
    }
    to_message(it.shared, message);
    return message.SerializeAsString();
}

std::optional<heartbeat> decode_heartbeat(const std::string& bytes) {
    schema::entry_heartbeat message;
    if (!message.ParseFromString(bytes) || message.magic() != heartbeat_magic ||
        message.sender().name().empty()) {
        return std::nullopt;
    }
    heartbeat it;
    it.sender = from_message(message.sender());
    it.status = from_message(message.status());
    it.held.assign(message.held().begin(), message.held().end());
    if (message.has_heard_recipient_ms()) {
        it.heard_recipient = milliseconds(message.heard_recipient_ms());
    }
    it.wanted_interval = milliseconds(message.wanted_interval_ms());
    for (const auto& news : message.news()) {
        it.news.push_back(from_message(news));
    }
    it.shared = shared_from(message);
    return it;
}

} // namespace savorytrail::fleet
