// JSON form of the configuration row.
#include "core/configuration/record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace savorytrail::configuration {
namespace {

using nlohmann::json;

json to_json(const change& it) {
    return {{"version", it.version},
            {"change_id", it.change_id},
            {"author", it.author},
            {"applied_at", it.applied_at}};
}

change read_change(const json& from, std::uint64_t version) {
    return {version, from.at("change_id"), from.at("author"), from.at("applied_at")};
}

} // namespace

const change* record::find(const std::string& change_id) const {
    if (last.change_id == change_id)
        return &last;
    const auto it = std::find_if(earlier.begin(), earlier.end(), [&](const change& candidate) {
        return candidate.change_id == change_id;
    });
    return it == earlier.end() ? nullptr : &*it;
}

common::result<std::string> write_record(const record& it) {
    json row = to_json(it.last);
    row.erase("version"); // the table assigns it
    row["text"] = it.text;
    row["earlier"] = json::array();
    for (const change& previous : it.earlier)
        row["earlier"].push_back(to_json(previous));
    try {
        return row.dump();
    } catch (const json::exception&) { // the text is not UTF-8
        return make_error_code(common::error::malformed);
    }
}

common::result<record> read_record(const platform::row& row) {
    try {
        const json from = json::parse(row.value);
        record result{read_change(from, row.version), from.at("text"), {}};
        for (const json& previous : from.value("earlier", json::array()))
            result.earlier.push_back(read_change(previous, previous.at("version")));
        return result;
    } catch (const json::exception&) {
        return make_error_code(common::error::malformed);
    }
}

common::result<record> read_current(platform::table& table) {
    const auto row = table.read_newer(manifest_key, 0);
    if (!row)
        return row.error();
    if (!row.value())
        return make_error_code(common::error::malformed); // a row without a version
    return read_record(*row.value());
}

common::result<std::optional<manifest::versioned_manifest>> read_newer(platform::table& table,
                                                                       std::uint64_t version) {
    const auto row = table.read_newer(manifest_key, version);
    if (!row)
        return row.error();
    if (!row.value())
        return std::optional<manifest::versioned_manifest>();

    auto found = read_record(*row.value());
    if (!found)
        return found.error();
    auto parsed = manifest::parse(found.value().text);
    if (!parsed)
        return make_error_code(common::error::malformed);
    return std::optional(manifest::versioned_manifest{
        row.value()->version, std::move(found.value().text), std::move(parsed).value()});
}

} // namespace savorytrail::configuration
