// Converts forwarded requests and their results to and from protobuf messages. Validates messages
// received from peers.
#pragma once

#include <optional>

#include "core/peer/types.h"

namespace savorytrail::schema {
class forward_reply;
class forward_request;
} // namespace savorytrail::schema

namespace savorytrail::peer {

void to_message(const forward_request& value, schema::forward_request& out);
std::optional<forward_request> from_message(const schema::forward_request& message);

void to_message(const forward_result& value, schema::forward_reply& out);
std::optional<forward_result> from_message(const schema::forward_reply& message);

} // namespace savorytrail::peer
