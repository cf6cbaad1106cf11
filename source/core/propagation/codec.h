// Converts changes of the live list to and from protobuf messages, and validates those of peers.
#pragma once

#include <optional>

#include "core/platform/platform.h"

namespace savorytrail::schema {
class fetch_live_list_reply;
} // namespace savorytrail::schema

namespace savorytrail::propagation {

void to_message(const platform::vm_changes& value, schema::fetch_live_list_reply& out);
std::optional<platform::vm_changes> from_message(const schema::fetch_live_list_reply& message);

} // namespace savorytrail::propagation
