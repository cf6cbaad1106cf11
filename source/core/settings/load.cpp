// Populates a message by reflection over its descriptor and the field options of schema/.
#include "core/settings/load.h"

#include <google/protobuf/message.h>

#include <algorithm>
#include <cstdlib>
#include <tuple>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "core/settings/document.h"
#include "core/settings/rule.h"
#include "core/settings/text.h"

namespace savorytrail::settings {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

std::string describe(const toml::node& node) {
    if (const auto* it = node.as_string())
        return absl::StrCat("the text ", quoted(it->get()));
    if (const auto* it = node.as_integer())
        return absl::StrCat(it->get());
    if (const auto* it = node.as_floating_point())
        return absl::StrCat(it->get());
    if (const auto* it = node.as_boolean())
        return it->get() ? "true" : "false";
    if (node.is_table())
        return "a table";
    if (node.is_array())
        return "a list";
    return "a date or time";
}

std::string key_path(const std::string& parent, const std::string& name) {
    return parent.empty() ? name : absl::StrCat(parent, ".", name);
}

// Position for problems of keys missing from `table`: `enclosing` if the file has no such table.
position missing_key_position(const toml::table* table, const position& enclosing) {
    const position own = table != nullptr ? position_of(table->source()) : enclosing;
    return own.line > 0 ? own : enclosing;
}

// Sets one field from its default or from a TOML value that satisfies the field's rule.
class field_writer {
public:
    field_writer(Message& message, const FieldDescriptor& field)
        : m_message(message), m_reflection(*message.GetReflection()), m_field(field) {}

    void set_default() {
        const std::string& text = rule_of(m_field).default_value();
        if (text.empty())
            return;
        if (m_field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
            m_reflection.SetString(&m_message, &m_field, text);
        } else if (m_field.cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
            m_reflection.SetBool(&m_message, &m_field, text == "true");
        } else {
            double value = 0;
            // A default that is not a number is a defect of the schema, not of the operator's file.
            if (!absl::SimpleAtod(text, &value))
                std::abort();
            set_number(value);
        }
    }

    bool set(const toml::node& node) {
        switch (m_field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_STRING:
            return set_text(node.as_string());
        case FieldDescriptor::CPPTYPE_BOOL:
            return set_bool(node.as_boolean());
        default:
            return set_number(node);
        }
    }

private:
    bool set_text(const toml::value<std::string>* text) {
        if (text == nullptr || !matches_format(m_field, text->get()))
            return false;
        m_reflection.SetString(&m_message, &m_field, text->get());
        return true;
    }

    bool set_bool(const toml::value<bool>* value) {
        if (value == nullptr)
            return false;
        m_reflection.SetBool(&m_message, &m_field, value->get());
        return true;
    }

    bool set_number(const toml::node& node) {
        const bool needs_integer = m_field.cpp_type() != FieldDescriptor::CPPTYPE_DOUBLE;
        if (!node.is_integer() && (needs_integer || !node.is_floating_point()))
            return false;
        const double value = *node.value<double>();
        const range bounds = range_of(m_field);
        if (!(value >= bounds.min && value <= bounds.max))
            return false;
        set_number(value);
        return true;
    }

    void set_number(double value) {
        if (m_field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE)
            m_reflection.SetDouble(&m_message, &m_field, value);
        else if (m_field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32)
            m_reflection.SetUInt32(&m_message, &m_field, static_cast<std::uint32_t>(value));
        else
            std::abort(); // the schema uses a type that the loader does not support
    }

    Message& m_message;
    const Reflection& m_reflection;
    const FieldDescriptor& m_field;
};

class populator {
public:
    explicit populator(populate_result& out) : m_out(out) {}

    // `table` is null when the file has none; `at` is where missing required keys are reported.
    void populate_message(Message& out, const toml::table* table, const std::string& path,
                          const position& at) {
        const Descriptor& descriptor = *out.GetDescriptor();
        if (table != nullptr)
            report_unknown_keys(*table, descriptor, path);
        for (int i = 0; i < descriptor.field_count(); i++) {
            const FieldDescriptor& field = *descriptor.field(i);
            const toml::node* const node = table != nullptr ? table->get(field.name()) : nullptr;
            populate_field(out, field, node, key_path(path, field.name()), at);
        }
    }

private:
    void populate_field(Message& out, const FieldDescriptor& field, const toml::node* node,
                        const std::string& key, const position& at) {
        if (field.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
            populate_value(out, field, node, key, at);
        } else if (field.is_repeated()) {
            if (node != nullptr)
                populate_list(out, field, *node, key);
        } else {
            Message& submessage = *out.GetReflection()->MutableMessage(&out, &field);
            const toml::table* const table = node != nullptr ? node->as_table() : nullptr;
            if (node != nullptr && table == nullptr)
                report_invalid_value(field, *node, key);
            else
                populate_message(submessage, table, key, missing_key_position(table, at));
        }
    }

    void populate_value(Message& out, const FieldDescriptor& field, const toml::node* node,
                        const std::string& key, const position& at) {
        field_writer writer(out, field);
        writer.set_default();
        if (node == nullptr) {
            if (rule_of(field).required())
                report(at, key, absl::StrCat("missing; expected ", expectation(field)));
        } else if (writer.set(*node)) {
            m_out.positions.emplace(key, position_of(node->source()));
        } else {
            report_invalid_value(field, *node, key);
        }
    }

    void populate_list(Message& out, const FieldDescriptor& field, const toml::node& node,
                       const std::string& key) {
        const toml::array* const list = node.as_array();
        if (list == nullptr) {
            report_invalid_value(field, node, key);
            return;
        }
        for (std::size_t i = 0; i < list->size(); i++) {
            const std::string element_key = absl::StrCat(key, "[", i, "]");
            Message& element = *out.GetReflection()->AddMessage(&out, &field);
            if (const toml::table* const table = list->get(i)->as_table())
                populate_message(element, table, element_key, position_of(table->source()));
            else
                report(position_of(list->get(i)->source()), element_key,
                       absl::StrCat("expected a table, found ", describe(*list->get(i))));
        }
        report_duplicates(out, field, key);
    }

    void report_duplicates(const Message& out, const FieldDescriptor& list,
                           const std::string& key) {
        const Descriptor& element = *list.message_type();
        for (int i = 0; i < element.field_count(); i++) {
            if (rule_of(*element.field(i)).unique())
                report_duplicates(out, list, *element.field(i), key);
        }
    }

    void report_duplicates(const Message& out, const FieldDescriptor& list,
                           const FieldDescriptor& field, const std::string& key) {
        std::map<std::string, position> first_positions;
        for (int i = 0; i < out.GetReflection()->FieldSize(out, &list); i++) {
            const std::string element_key = absl::StrCat(key, "[", i, "].", field.name());
            const auto at = m_out.positions.find(element_key);
            if (at == m_out.positions.end())
                continue;
            const Message& element = out.GetReflection()->GetRepeatedMessage(out, &list, i);
            const std::string value = element.GetReflection()->GetString(element, &field);
            const auto [first, is_new] = first_positions.emplace(value, at->second);
            if (!is_new)
                report(
                    at->second, element_key,
                    absl::StrCat(quoted(value), " is already used on line ", first->second.line));
        }
    }

    void report_unknown_keys(const toml::table& table, const Descriptor& descriptor,
                             const std::string& path) {
        std::vector<std::string> known;
        known.reserve(descriptor.field_count());
        for (int i = 0; i < descriptor.field_count(); i++)
            known.push_back(descriptor.field(i)->name());
        for (const auto& [key, node] : table) {
            const std::string name(key.str());
            if (descriptor.FindFieldByName(name) == nullptr)
                report(position_of(key.source()), key_path(path, name),
                       absl::StrCat("unknown key; known here: ", absl::StrJoin(known, ", ")));
        }
    }

    void report_invalid_value(const FieldDescriptor& field, const toml::node& node,
                              const std::string& key) {
        report(position_of(node.source()), key,
               absl::StrCat("expected ", expectation(field), ", found ", describe(node)));
    }

    void report(const position& at, const std::string& key, std::string message) {
        m_out.problems.push_back({at.file, at.line, at.column, key, std::move(message)});
    }

    populate_result& m_out;
};

} // namespace

populate_result populate(const config_source& source, Message& out) {
    document parsed =
        parse_document(source.text, source.file_name, source.assignments, *out.GetDescriptor());
    populate_result result{source.file_name, std::move(parsed.problems), {}};
    const bool syntax_error = !result.problems.empty();
    if (!syntax_error)
        populator(result).populate_message(out, &parsed.root, "", {source.file_name, 1, 1});
    return result;
}

void sort_in_file_order(std::vector<problem>& problems, const std::string& file_name) {
    const auto order = [&](const problem& it) {
        return std::tuple(it.file != file_name, it.line, it.column);
    };
    std::stable_sort(problems.begin(), problems.end(),
                     [&](const problem& a, const problem& b) { return order(a) < order(b); });
}

} // namespace savorytrail::settings
