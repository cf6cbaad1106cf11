// Prints by reflection, with each key's help, unit, range and default as a comment.
#include "core/settings/print.h"

#include <google/protobuf/message.h>

#include <vector>

#include "absl/strings/str_cat.h"
#include "core/settings/rule.h"
#include "core/settings/text.h"

namespace savorytrail::settings {
namespace {

using google::protobuf::Message;
using google::protobuf::Reflection;

std::string format_value(const Message& message, const FieldDescriptor& field) {
    const Reflection& reflection = *message.GetReflection();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
        return quoted(reflection.GetString(message, &field));
    case FieldDescriptor::CPPTYPE_BOOL:
        return reflection.GetBool(message, &field) ? "true" : "false";
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return decimal(reflection.GetDouble(message, &field));
    default:
        return absl::StrCat(reflection.GetUInt32(message, &field));
    }
}

std::string help_comment(const FieldDescriptor& field) {
    const schema::field_rule& rule = rule_of(field);
    std::string text = absl::StrCat("# ", rule.help(), "\n# Expected: ", expectation(field), ".");
    if (!rule.default_value().empty())
        absl::StrAppend(&text, " Default: ", rule.default_value(), ".");
    return text + "\n";
}

void print_table(const Message& message, const std::string& path, bool commented,
                 std::string& out) {
    const Reflection& reflection = *message.GetReflection();
    std::vector<const FieldDescriptor*> submessages;
    for (int i = 0; i < message.GetDescriptor()->field_count(); i++) {
        const FieldDescriptor& field = *message.GetDescriptor()->field(i);
        if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            submessages.push_back(&field);
            continue;
        }
        if (commented)
            out += help_comment(field);
        absl::StrAppend(&out, field.name(), " = ", format_value(message, field), "\n");
    }
    for (const FieldDescriptor* field : submessages) {
        const std::string key = path.empty() ? field->name() : path + "." + field->name();
        if (!field->is_repeated()) {
            absl::StrAppend(&out, "\n[", key, "]\n");
            print_table(reflection.GetMessage(message, field), key, commented, out);
            continue;
        }
        for (int k = 0; k < reflection.FieldSize(message, field); k++) {
            absl::StrAppend(&out, "\n[[", key, "]]\n");
            const bool first = commented && k == 0;
            print_table(reflection.GetRepeatedMessage(message, field, k), key, first, out);
        }
    }
}

} // namespace

std::string print(const Message& message) {
    std::string out;
    print_table(message, "", true, out);
    if (out.starts_with('\n'))
        out.erase(0, 1);
    return out;
}

} // namespace savorytrail::settings
