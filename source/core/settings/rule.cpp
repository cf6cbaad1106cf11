// Reads and applies the schema's field options.
#include "core/settings/rule.h"

#include <algorithm>
#include <limits>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "core/common/endpoint.h"
#include "core/settings/text.h"

namespace savorytrail::settings {
namespace {

constexpr std::size_t max_name_length = 64; // characters

bool is_name_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

bool is_name(const std::string& text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

std::string text_expectation(const schema::field_rule& rule) {
    switch (rule.format()) {
    case schema::name_text:
        return "a name of 1 to 64 lower-case letters, digits, '-' and '_'";
    case schema::endpoint_text:
        return "an IPv4 address and port such as \"10.1.2.3:8080\"";
    case schema::url_text:
        return "a URL with an IPv4 address and port such as \"http://10.1.2.3:8080\"";
    case schema::choice_text: {
        std::vector<std::string> choices;
        for (const std::string& it : rule.choices())
            choices.push_back(quoted(it));
        return absl::StrCat("one of ", absl::StrJoin(choices, ", "));
    }
    default:
        return "text in quotes";
    }
}

std::string number_expectation(const FieldDescriptor& field) {
    const bool is_integer = field.cpp_type() != FieldDescriptor::CPPTYPE_DOUBLE;
    const schema::field_rule& rule = rule_of(field);
    std::string text = is_integer ? "a whole number" : "a number";
    if (!rule.unit().empty())
        absl::StrAppend(&text, " of ", rule.unit());
    const range bounds = range_of(field);
    if (rule.ranged() || is_integer)
        absl::StrAppend(&text, " from ", decimal(bounds.min), " to ", decimal(bounds.max));
    return text;
}

} // namespace

const schema::field_rule& rule_of(const FieldDescriptor& field) {
    return field.options().GetExtension(schema::rule);
}

range range_of(const FieldDescriptor& field) {
    const schema::field_rule& rule = rule_of(field);
    if (rule.ranged())
        return {rule.min(), rule.max()};
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE)
        return {std::numeric_limits<double>::lowest(), std::numeric_limits<double>::max()};
    return {0, static_cast<double>(std::numeric_limits<std::uint32_t>::max())};
}

std::string expectation(const FieldDescriptor& field) {
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return field.is_repeated() ? absl::StrCat("a list of tables [[", field.name(), "]]")
                                   : absl::StrCat("a table [", field.name(), "]");
    case FieldDescriptor::CPPTYPE_STRING:
        return text_expectation(rule_of(field));
    case FieldDescriptor::CPPTYPE_BOOL:
        return "true or false";
    default:
        return number_expectation(field);
    }
}

bool matches_format(const FieldDescriptor& field, const std::string& text) {
    const schema::field_rule& rule = rule_of(field);
    switch (rule.format()) {
    case schema::name_text:
        return is_name(text);
    case schema::endpoint_text:
        return common::parse_endpoint(text).has_value();
    case schema::url_text:
        return common::parse_http_url(text).has_value();
    case schema::choice_text:
        return std::count(rule.choices().begin(), rule.choices().end(), text) > 0;
    default:
        return true;
    }
}

} // namespace savorytrail::settings
