#include "core/fleet/heartbeat.h"

#include "fleet.pb.h"

namespace savorytrail::fleet {
namespace {

constexpr std::uint32_t heartbeat_magic = 0x73764231;

} // namespace

std::string encode(const heartbeat& it) {
    schema::entry_beat message;
    message.set_magic(heartbeat_magic);
    message.set_name(it.name);
    message.set_failure_domain(it.failure_domain);
    message.set_incarnation(it.incarnation);
    message.set_sequence(it.sequence);
    message.set_is_leaving(it.is_leaving);
    message.set_knows_executors(it.knows_executors);
    message.set_configuration_version(it.configuration_version);
    message.set_cpu_share_millis(it.cpu_share_millis);
    message.set_capacity_cpu_millis(it.load.capacity_cpu_millis);
    message.set_free_cpu_millis(it.load.free_cpu_millis);
    message.set_backlog_ms(it.load.backlog_ms);
    for (const auto& id : it.held) {
        message.add_held(id);
    }
    for (const auto& id : it.adopted) {
        message.add_adopted(id);
    }
    for (const auto& [name, ago] : it.heard) {
        auto* heard = message.add_heard();
        heard->set_name(name);
        heard->set_ms_ago(static_cast<std::uint32_t>(ago.count()));
    }
    for (const auto& entry : it.known) {
        auto* known = message.add_known();
        known->set_name(entry.name);
        known->set_failure_domain(entry.failure_domain);
        known->set_host(entry.host);
    }
    return message.SerializeAsString();
}

std::optional<heartbeat> decode_heartbeat(const std::string& bytes) {
    schema::entry_beat message;
    if (!message.ParseFromString(bytes) || message.magic() != heartbeat_magic ||
        message.name().empty()) {
        return std::nullopt;
    }
    heartbeat it;
    it.name = message.name();
    it.failure_domain = message.failure_domain();
    it.incarnation = message.incarnation();
    it.sequence = message.sequence();
    it.is_leaving = message.is_leaving();
    it.knows_executors = message.knows_executors();
    it.configuration_version = message.configuration_version();
    it.cpu_share_millis = message.cpu_share_millis();
    it.load = {message.capacity_cpu_millis(), message.free_cpu_millis(), message.backlog_ms()};
    it.held.assign(message.held().begin(), message.held().end());
    it.adopted.assign(message.adopted().begin(), message.adopted().end());
    for (const auto& heard : message.heard()) {
        it.heard[heard.name()] = common::milliseconds(heard.ms_ago());
    }
    for (const auto& known : message.known()) {
        it.known.push_back({known.name(), known.failure_domain(), known.host()});
    }
    return it;
}

} // namespace savorytrail::fleet
