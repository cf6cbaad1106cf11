// Generates one Markdown table for each TOML table.
#include "core/settings/reference.h"

#include <google/protobuf/descriptor.h>

#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "core/settings/rule.h"
#include "core/settings/text.h"
#include "manifest.pb.h"
#include "settings.pb.h"

namespace savorytrail::settings {
namespace {

using google::protobuf::Descriptor;

constexpr const char* introduction =
    R"(# Settings and manifest

Written from `schema/` by `savoryctl reference`; a test compares the two.

Both files are TOML. Unknown keys, wrong types, values out of range and settings that clash are
refused, all at once, each with file, line, column and key. Assignments on the command line
(`--set callers.threads=8`) win over the file, and the file over the defaults.
)";

constexpr const char* settings_rules = R"(
These clash and are refused:

- `peers.listen`, `callers.listen` and `platform.url` with the same address;
- `peers.suspect_after_ms` that is not above `peers.heartbeat_ms`;
- `callers.max_task_body_bytes` above `callers.max_body_bytes`;
- `submissions.max_ids_per_call` above `submissions.max_remembered`.
)";

constexpr const char* manifest_rules = R"(
These clash and are refused:

- a manifest without teams or without upstreams, and an upstream without executors;
- two teams or two upstreams of one name;
- two executors of one name or address, also in different upstreams;
- one VM in two failure domains;
- a `not_accepted_status` other than 0 that is no error status (400 to 599).
)";

std::string range_text(const FieldDescriptor& field) {
    const schema::field_rule& rule = rule_of(field);
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING)
        return expectation(field);
    return rule.ranged() ? absl::StrCat(decimal(rule.min()), " to ", decimal(rule.max())) : "";
}

std::string default_text(const FieldDescriptor& field) {
    const schema::field_rule& rule = rule_of(field);
    if (rule.required())
        return "required";
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING)
        return absl::StrCat("`", quoted(rule.default_value()), "`");
    return absl::StrCat("`", rule.default_value(), "`");
}

std::string table_row(const FieldDescriptor& field) {
    const schema::field_rule& rule = rule_of(field);
    const std::vector<std::string> cells{absl::StrCat("`", field.name(), "`"), rule.unit(),
                                         default_text(field), range_text(field), rule.help()};
    return absl::StrCat("| ", absl::StrJoin(cells, " | "), " |\n");
}

std::string value_table(const Descriptor& message) {
    std::string rows;
    for (int i = 0; i < message.field_count(); i++) {
        if (message.field(i)->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE)
            rows += table_row(*message.field(i));
    }
    if (rows.empty())
        return "";
    return "\n| key | unit | default | values | meaning |\n| --- | --- | --- | --- | --- |\n" +
           rows;
}

std::string table_sections(const Descriptor& message, const std::string& path) {
    std::string text;
    for (int i = 0; i < message.field_count(); i++) {
        const FieldDescriptor& field = *message.field(i);
        if (field.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE)
            continue;
        const std::string key = path.empty() ? field.name() : absl::StrCat(path, ".", field.name());
        const std::string name = field.is_repeated() ? "[[" + key + "]]" : "[" + key + "]";
        absl::StrAppend(&text, "\n### `", name, "`\n");
        if (!rule_of(field).help().empty())
            absl::StrAppend(&text, "\n", rule_of(field).help(), "\n");
        absl::StrAppend(&text, value_table(*field.message_type()),
                        table_sections(*field.message_type(), key));
    }
    return text;
}

} // namespace

std::string reference() {
    return absl::StrCat(introduction, "\n## Settings of savory-entry\n",
                        table_sections(*schema::entry_settings::descriptor(), ""), settings_rules,
                        "\n## Manifest\n", table_sections(*schema::manifest::descriptor(), ""),
                        manifest_rules);
}

} // namespace savorytrail::settings
