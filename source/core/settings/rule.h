// What the schema's field options say about a field, in words and as a check of one value.
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

// The values that a numeric field may take: the rule's bounds or those of the type.
range range_of(const FieldDescriptor& field);

// Such as "a whole number of ms from 50 to 10000"; what a problem says was expected.
std::string expectation(const FieldDescriptor& field);

// Whether the text fits the field's format or is one of its choices.
bool matches_format(const FieldDescriptor& field, const std::string& text);

} // namespace savorytrail::settings
