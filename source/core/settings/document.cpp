// Parses the file and the assignments and merges the assignments into the file's table.
#include "core/settings/document.h"

#include <optional>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "core/settings/rule.h"
#include "core/settings/text.h"

namespace savorytrail::settings {
namespace {

using google::protobuf::Descriptor;

constexpr const char* assignment_prefix = "--set ";

struct assignment {
    std::string key;
    std::string value;
};

std::optional<assignment> split_assignment(const std::string& text) {
    const auto equals = text.find('=');
    if (equals == std::string::npos || equals == 0)
        return std::nullopt;
    return assignment{text.substr(0, equals), text.substr(equals + 1)};
}

// Unknown keys count as text, so that the problem reported is the unknown key and not its value.
bool is_text_field(const std::string& key, const Descriptor& schema) {
    const std::vector<std::string> names = absl::StrSplit(key, '.');
    const Descriptor* message = &schema;
    const FieldDescriptor* field = nullptr;
    for (const std::string& name : names) {
        field = message != nullptr ? message->FindFieldByName(name) : nullptr;
        if (field == nullptr)
            return true;
        message = field->message_type();
    }
    return field->cpp_type() == FieldDescriptor::CPPTYPE_STRING;
}

// Parses TOML into `root`. A syntax error is appended to `problems`.
bool parse_into(toml::table& root, const std::string& text, const std::string& file_name,
                std::vector<problem>& problems) {
    try {
        root = toml::parse(text, file_name);
        return true;
    } catch (const toml::parse_error& e) {
        const position at = position_of(e.source());
        problems.push_back({file_name, at.line, at.column, "",
                            absl::StrCat("not valid TOML: ", std::string(e.description()))});
        return false;
    }
}

// Merges `from` into `into` recursively; scalars and lists replace. When `into` has a value that is
// not a table where `from` has a table, the value stays and is later reported for its type.
void merge_table(toml::table& into, toml::table&& from) {
    for (auto&& [key, node] : from) {
        toml::node* const existing = into.get(key);
        if (existing == nullptr || !node.is_table())
            into.insert_or_assign(key, std::move(node));
        else if (existing->is_table())
            merge_table(*existing->as_table(), std::move(*node.as_table()));
    }
}

void apply_assignment(const std::string& text, const Descriptor& schema, document& out) {
    const std::string source = absl::StrCat(assignment_prefix, text);
    const auto parsed = split_assignment(text);
    if (!parsed) {
        out.problems.push_back({source, 0, 0, "", "expected KEY=VALUE, such as callers.threads=8"});
        return;
    }
    const bool quote = is_text_field(parsed->key, schema) && !parsed->value.starts_with('"');
    const std::string value = quote ? quoted(parsed->value) : parsed->value;
    toml::table table;
    if (parse_into(table, absl::StrCat(parsed->key, " = ", value), source, out.problems))
        merge_table(out.root, std::move(table));
}

} // namespace

position position_of(const toml::source_region& region) {
    const std::string file = region.path ? *region.path : std::string();
    if (file.starts_with(assignment_prefix))
        return {file, 0, 0};
    return {file, static_cast<int>(region.begin.line), static_cast<int>(region.begin.column)};
}

document parse_document(const std::string& text, const std::string& file_name,
                        const std::vector<std::string>& assignments, const Descriptor& schema) {
    document result;
    if (!parse_into(result.root, text, file_name, result.problems))
        return result;
    for (const std::string& it : assignments)
        apply_assignment(it, schema, result);
    return result;
}

} // namespace savorytrail::settings
