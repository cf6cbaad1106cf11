// Reads a field's rule from the schema's field options, describes it in words and checks values
// against it.
#pragma once

#include <string>

#include "options.pb.h"

namespace savorytrail::settings {

using google::protobuf::FieldDescriptor;

const schema::field_rule& rule_of(const FieldDescriptor& field);

struct range {
    double min = 0;
    double max = 0;

    bool operator==(const range&) const = default;
};

// Bounds of a numeric field: those of its rule, otherwise those of its type.
range range_of(const FieldDescriptor& field);

// Describes the valid values for messages, such as "a whole number of ms from 50 to 10000".
std::string expectation(const FieldDescriptor& field);

// Whether the text matches the field's format or is one of its choices.
bool matches_format(const FieldDescriptor& field, const std::string& text);

} // namespace savorytrail::settings
