// Conversion of snapshots and notices to and from protobuf messages. Validates messages from peers.
#pragma once

#include <optional>
#include <vector>

#include "core/handover/types.h"

namespace savorytrail::schema {
class handover_part;
class heir_notices;
class incarnation;
} // namespace savorytrail::schema

namespace savorytrail::handover {

// Splits a snapshot into parts that each fit into one gRPC message.
std::vector<schema::handover_part> to_parts(const home_snapshot& value);

// Adds a part to the snapshots received so far; false when the part is malformed.
bool add_part(const schema::handover_part& part, std::vector<home_snapshot>& snapshots);

void to_message(const std::vector<successor_notice>& value, schema::heir_notices& out);
// Skips malformed notices.
std::vector<successor_notice> from_message(const schema::heir_notices& message);

void to_message(const submission::incarnation& value, schema::incarnation& out);
submission::incarnation from_message(const schema::incarnation& message);

} // namespace savorytrail::handover
