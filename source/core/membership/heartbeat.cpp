// Encodes heartbeats and selects the list elements of each datagram.
#include "core/membership/heartbeat.h"

#include <algorithm>

#include "membership.pb.h"

namespace savorytrail::membership {
namespace {

constexpr std::uint32_t heartbeat_magic = 0x53561001;
constexpr std::size_t max_idle_per_datagram = 2;
constexpr std::size_t max_demands_per_datagram = 8;

schema::heartbeat to_message(const heartbeat& value) {
    schema::heartbeat out;
    out.set_magic(heartbeat_magic);
    out.set_vm(value.vm);
    out.set_incarnation_high(value.incarnation.high);
    out.set_incarnation_low(value.incarnation.low);
    out.set_sequence(value.sequence);
    out.set_state(static_cast<std::uint32_t>(value.state));
    out.set_configuration_version(value.configuration_version);
    out.set_list_revision(value.list_revision);
    out.set_platform_unreachable(!value.platform_reachable);
    for (const auto& it : value.idle) {
        auto* element = out.add_idle();
        element->set_upstream(it.upstream);
        element->set_slots(it.slots);
    }
    for (const auto& it : value.demand) {
        auto* element = out.add_demand();
        element->set_team(it.team);
        element->set_tasks_per_second(it.tasks_per_second);
        element->set_share(it.share);
    }
    return out;
}

heartbeat from_message(const schema::heartbeat& message) {
    heartbeat value;
    value.vm = message.vm();
    value.incarnation = {message.incarnation_high(), message.incarnation_low()};
    value.sequence = message.sequence();
    value.state = static_cast<entry_state>(message.state());
    value.configuration_version = message.configuration_version();
    value.list_revision = message.list_revision();
    value.platform_reachable = !message.platform_unreachable();
    for (const auto& it : message.idle())
        value.idle.push_back({it.upstream(), it.slots()});
    for (const auto& it : message.demand())
        value.demand.push_back({it.team(), it.tasks_per_second(), it.share()});
    return value;
}

// Appends elements of `from` to `to` in round-robin order, starting at index `next`, until the
// datagram is full. Leaves in `next` the index at which the following datagram starts.
template <typename T>
void add_round_robin(const std::vector<T>& from, std::vector<T>& to, std::size_t& next,
                     std::size_t max_elements, const heartbeat& datagram) {
    const std::size_t n = std::min(max_elements, from.size());
    for (std::size_t i = 0; i < n; i++) {
        to.push_back(from[next % from.size()]);
        if (encode(datagram).size() > max_heartbeat_bytes) {
            to.pop_back();
            return;
        }
        next = (next + 1) % from.size();
    }
}

} // namespace

std::uint32_t name_number(std::string_view name) {
    return submission::vm_number(name);
}

std::string encode(const heartbeat& value) {
    return to_message(value).SerializeAsString();
}

std::optional<heartbeat> decode(std::string_view datagram) {
    schema::heartbeat message;
    if (datagram.size() > max_heartbeat_bytes ||
        !message.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())))
        return std::nullopt;
    if (message.magic() != heartbeat_magic || message.sequence() == 0 ||
        message.state() > static_cast<std::uint32_t>(entry_state::left))
        return std::nullopt;
    return from_message(message);
}

heartbeat heartbeat_composer::next(const heartbeat& full) {
    heartbeat it = full;
    it.idle.clear();
    it.demand.clear();
    add_round_robin(full.idle, it.idle, m_next_idle, max_idle_per_datagram, it);
    add_round_robin(full.demand, it.demand, m_next_demand, max_demands_per_datagram, it);
    return it;
}

} // namespace savorytrail::membership
