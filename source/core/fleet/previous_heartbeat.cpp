#include "core/fleet/previous_heartbeat.h"

#include "fleet.pb.h"

namespace savorytrail::fleet {
namespace {

constexpr std::uint32_t previous_magic = 0x73764231;

} // namespace

std::string encode_previous(const heartbeat& it, const held_executors& held,
                            const std::string& recipient) {
    schema::entry_beat message;
    message.set_magic(previous_magic);
    message.set_name(it.sender.name);
    message.set_failure_domain(it.sender.failure_domain);
    message.set_incarnation(it.sender.incarnation);
    message.set_sequence(it.status.sequence);
    message.set_is_leaving(it.status.is_leaving);
    message.set_knows_executors(it.status.knows_executors);
    message.set_configuration_version(it.status.configuration_version);
    message.set_cpu_share_millis(it.sender.cpu_share_millis);
    message.set_capacity_cpu_millis(it.status.load.capacity_cpu_millis);
    message.set_free_cpu_millis(it.status.load.free_cpu_millis);
    message.set_backlog_ms(it.status.load.backlog_ms);
    for (const auto& id : held.own_domain) {
        message.add_held(id);
    }
    for (const auto& id : held.adopted) {
        message.add_adopted(id);
    }
    if (it.heard_recipient) {
        auto* heard = message.add_heard();
        heard->set_name(recipient);
        heard->set_ms_ago(static_cast<std::uint32_t>(it.heard_recipient->count()));
    }
    return message.SerializeAsString();
}

std::optional<previous_heartbeat> decode_previous(const std::string& bytes,
                                                  const std::string& recipient) {
    schema::entry_beat message;
    if (!message.ParseFromString(bytes) || message.magic() != previous_magic ||
        message.name().empty()) {
        return std::nullopt;
    }
    previous_heartbeat it;
    auto& content = it.content;
    content.sender = {message.name(), message.failure_domain(), "", message.incarnation(),
                      message.cpu_share_millis()};
    content.status.sequence = message.sequence();
    content.status.is_leaving = message.is_leaving();
    content.status.knows_executors = message.knows_executors();
    content.status.configuration_version = message.configuration_version();
    content.status.load = {message.capacity_cpu_millis(), message.free_cpu_millis(),
                           message.backlog_ms()};
    for (const auto& id : message.adopted()) {
        content.status.adopted.push_back(executor_key(id));
    }
    for (const auto& id : message.held()) {
        content.held.push_back(executor_key(id));
    }
    for (const auto& heard : message.heard()) {
        if (heard.name() == recipient) {
            content.heard_recipient = common::milliseconds(heard.ms_ago());
        }
    }
    for (const auto& known : message.known()) {
        it.known.push_back({known.name(), known.failure_domain(), known.host()});
    }
    return it;
}

} // namespace savorytrail::fleet
