// Conversion of loan requests and replies to and from protobuf messages, with validation.
#pragma once

#include <optional>

#include "core/loan/types.h"

namespace savorytrail::schema {
class loan_reply;
class loan_request;
} // namespace savorytrail::schema

namespace savorytrail::loan {

void to_message(const loan_request& value, schema::loan_request& out);
std::optional<loan_request> from_message(const schema::loan_request& message);

void to_message(const loan_reply& value, schema::loan_reply& out);
loan_reply from_message(const schema::loan_reply& message);

} // namespace savorytrail::loan
