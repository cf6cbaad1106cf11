// Converts the schema's message to value types.
#include "core/manifest/manifest.h"

#include <algorithm>

#include "core/settings/load.h"
#include "manifest.pb.h"

namespace savorytrail::manifest {
namespace {

team convert(const schema::team& from) {
    return {from.name(), from.max_tasks_per_second()};
}

executor convert(const schema::executor& from) {
    return {.name = from.name(),
            .failure_domain = from.failure_domain(),
            .vm = from.vm().empty() ? from.name() : from.vm(),
            .address = common::parse_endpoint(from.address()).value(),
            .slots = from.slots(),
            .connections = from.connections()};
}

upstream convert(const schema::upstream& from);

template <class To, class List>
std::vector<To> convert_list(const List& from) {
    std::vector<To> result;
    result.reserve(from.size());
    for (const auto& it : from)
        result.push_back(convert(it));
    return result;
}

upstream convert(const schema::upstream& from) {
    return {.name = from.name(),
            .task_timeout = common::milliseconds(from.task_timeout_ms()),
            .not_accepted_status = static_cast<int>(from.not_accepted_status()),
            .executors = convert_list<executor>(from.executors())};
}

objectives convert(const schema::objectives& from) {
    return {from.response_over_ideal(), from.response_share(), from.availability()};
}

template <class Element>
const Element* find(const std::vector<Element>& list, std::string_view name) {
    const auto it = std::find_if(list.begin(), list.end(),
                                 [&](const Element& element) { return element.name == name; });
    return it == list.end() ? nullptr : &*it;
}

} // namespace

const team* manifest::find_team(std::string_view name) const {
    return find(teams, name);
}

const upstream* manifest::find_upstream(std::string_view name) const {
    return find(upstreams, name);
}

parse_result parse(const std::string& text, const std::string& file_name) {
    const auto loaded = settings::load<schema::manifest>({text, file_name, {}});
    if (!loaded.ok())
        return loaded.problems;
    return manifest{convert_list<team>(loaded.value.teams()),
                    convert_list<upstream>(loaded.value.upstreams()),
                    convert(loaded.value.objectives())};
}

} // namespace savorytrail::manifest
