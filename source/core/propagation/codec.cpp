// Converts and validates changes of the live list.
#include "core/propagation/codec.h"

#include "membership.pb.h"

namespace savorytrail::propagation {
namespace {

using platform::vm;
using platform::vm_role;
using platform::vm_state;

std::optional<vm> from_message(const schema::vm_message& message) {
    vm it;
    it.name = message.name();
    it.failure_domain = message.failure_domain();
    it.region = message.region();
    if (it.name.empty() || message.role() > static_cast<std::uint32_t>(vm_role::upstream) ||
        message.state() > static_cast<std::uint32_t>(vm_state::gone))
        return std::nullopt;
    it.role = static_cast<vm_role>(message.role());
    it.state = static_cast<vm_state>(message.state());
    if (message.address().empty())
        return it;
    it.address = common::parse_endpoint(message.address());
    return it.address ? std::optional(it) : std::nullopt;
}

} // namespace

void to_message(const platform::vm_changes& value, schema::fetch_live_list_reply& out) {
    out.set_revision(value.revision);
    out.set_complete(value.complete);
    for (const auto& it : value.vms) {
        auto* message = out.add_vms();
        message->set_name(it.name);
        message->set_role(static_cast<std::uint32_t>(it.role));
        message->set_failure_domain(it.failure_domain);
        message->set_region(it.region);
        message->set_state(static_cast<std::uint32_t>(it.state));
        if (it.address)
            message->set_address(it.address->to_string());
    }
}

std::optional<platform::vm_changes> from_message(const schema::fetch_live_list_reply& message) {
    platform::vm_changes value;
    value.revision = message.revision();
    value.complete = message.complete();
    for (const auto& part : message.vms()) {
        auto it = from_message(part);
        if (!it)
            return std::nullopt;
        value.vms.push_back(std::move(*it));
    }
    return value;
}

} // namespace savorytrail::propagation
