// Parses and serializes the platform's JSON messages.
#include "core/platform/messages.h"

#include <nlohmann/json.hpp>

namespace savorytrail::platform {

using nlohmann::json;

// Unknown members are ignored, so that the platform may add new ones.
static void from_json(const json& from, row& to) {
    from.at("key").get_to(to.key);
    from.at("version").get_to(to.version);
    const auto value = from.find("value");
    if (value != from.end() && !value->is_null())
        value->get_to(to.value);
}

static void from_json(const json& from, vm& to) {
    static const std::map<std::string, vm_role> s_roles{{"entry", vm_role::entry},
                                                        {"upstream", vm_role::upstream}};
    static const std::map<std::string, vm_state> s_states{
        {"live", vm_state::live}, {"leaving", vm_state::leaving}, {"gone", vm_state::gone}};
    from.at("name").get_to(to.name);
    to.role = s_roles.at(from.at("role").get<std::string>());
    from.at("failure_domain").get_to(to.failure_domain);
    from.at("region").get_to(to.region);
    to.address = common::parse_endpoint(from.value("address", ""));
    to.state = s_states.at(from.at("state").get<std::string>());
}

static void from_json(const json& from, vm_changes& to) {
    from.at("revision").get_to(to.revision);
    from.at("complete").get_to(to.complete);
    from.at("vms").get_to(to.vms);
}

static void from_json(const json& from, committed& to) {
    from.at("versions").get_to(to.versions);
}

static void from_json(const json& from, conflicts& to) {
    from.at("conflicts").get_to(to.rows);
}

static void to_json(json& to, const operation& from) {
    to = {{"key", from.key}, {"expected_version", from.expected_version}};
    if (from.value)
        to["value"] = *from.value;
}

namespace {

template <class Message>
common::result<Message> read(const std::string& body, const char* member = nullptr) {
    try {
        const json parsed = json::parse(body);
        return (member != nullptr ? parsed.at(member) : parsed).get<Message>();
    } catch (const json::exception&) {
        return make_error_code(common::error::malformed);
    } catch (const std::out_of_range&) { // an unknown role or state
        return make_error_code(common::error::malformed);
    }
}

} // namespace

common::result<std::string> write_operations(const std::vector<operation>& operations) {
    try {
        return json{{"operations", operations}}.dump();
    } catch (const json::exception&) { // a value that is not UTF-8
        return make_error_code(common::error::malformed);
    }
}

common::result<row> read_row(const std::string& body) {
    return read<row>(body);
}

common::result<std::vector<row>> read_rows(const std::string& body) {
    return read<std::vector<row>>(body, "rows");
}

common::result<committed> read_committed(const std::string& body) {
    return read<committed>(body);
}

common::result<conflicts> read_conflicts(const std::string& body) {
    return read<conflicts>(body);
}

common::result<vm_changes> read_vm_changes(const std::string& body) {
    return read<vm_changes>(body);
}

} // namespace savorytrail::platform
