// Compares two manifests, matching teams, upstreams and executors by name.
#include "core/manifest/difference.h"

#include <map>

#include "absl/strings/str_cat.h"

namespace savorytrail::manifest {
namespace {

// The values of one element by key, as text.
using value_map = std::map<std::string, std::string>;

value_map values_of(const team& it) {
    return {{"max_tasks_per_second", absl::StrCat(it.max_tasks_per_second)}};
}

value_map values_of(const executor& it) {
    return {{"address", it.address.to_string()},
            {"connections", absl::StrCat(it.connections)},
            {"failure_domain", it.failure_domain},
            {"slots", absl::StrCat(it.slots)},
            {"vm", it.vm}};
}

value_map values_of(const upstream& it) {
    return {{"not_accepted_status", absl::StrCat(it.not_accepted_status)},
            {"task_timeout_ms", absl::StrCat(it.task_timeout.count())}};
}

value_map values_of(const objectives& it) {
    return {{"availability", absl::StrCat(it.availability)},
            {"response_over_ideal", absl::StrCat(it.response_over_ideal)},
            {"response_share", absl::StrCat(it.response_share)}};
}

void compare_values(const std::string& subject, const value_map& from, const value_map& to,
                    std::vector<change>& out) {
    for (const auto& [name, value] : to) {
        const std::string& before = from.at(name);
        if (before != value)
            out.push_back(
                {change_kind::changed, subject, absl::StrCat(name, ": ", before, " -> ", value)});
    }
}

template <class Element>
std::map<std::string, const Element*> by_name(const std::vector<Element>& list) {
    std::map<std::string, const Element*> result;
    for (const Element& it : list)
        result.emplace(it.name, &it);
    return result;
}

// Calls `compare(subject, from, to)` for each element in the order of names. `from` is null for an
// added element, `to` for a removed one.
template <class Element, class Compare>
void for_each_pair(const std::string& kind, const std::vector<Element>& from,
                   const std::vector<Element>& to, Compare compare) {
    auto before = by_name(from);
    auto after = by_name(to);
    for (const auto& [name, element] : before)
        after.try_emplace(name, nullptr);
    for (const auto& [name, element] : after) {
        const auto it = before.find(name);
        compare(kind + name, it == before.end() ? nullptr : it->second, element);
    }
}

template <class Element>
void compare_element(const std::string& subject, const Element* from, const Element* to,
                     std::vector<change>& out) {
    if (from == nullptr)
        out.push_back({change_kind::added, subject, ""});
    else if (to == nullptr)
        out.push_back({change_kind::removed, subject, ""});
    else
        compare_values(subject, values_of(*from), values_of(*to), out);
}

void compare_executors(const std::string& upstream_name, const std::vector<executor>& from,
                       const std::vector<executor>& to, std::vector<change>& out) {
    for_each_pair(absl::StrCat("executor ", upstream_name, "/"), from, to,
                  [&](const std::string& subject, const executor* before, const executor* after) {
                      compare_element(subject, before, after, out);
                  });
}

void compare_upstream(const std::string& subject, const upstream* from, const upstream* to,
                      std::vector<change>& out) {
    compare_element(subject, from, to, out);
    static const std::vector<executor> s_none;
    compare_executors(from != nullptr ? from->name : to->name,
                      from != nullptr ? from->executors : s_none,
                      to != nullptr ? to->executors : s_none, out);
}

} // namespace

std::string change::to_string() const {
    switch (kind) {
    case change_kind::added:
        return "+ " + subject;
    case change_kind::removed:
        return "- " + subject;
    default:
        return absl::StrCat("~ ", subject, ": ", detail);
    }
}

std::vector<change> difference(const manifest& from, const manifest& to) {
    std::vector<change> result;
    for_each_pair("team ", from.teams, to.teams,
                  [&](const std::string& subject, const team* before, const team* after) {
                      compare_element(subject, before, after, result);
                  });
    for_each_pair("upstream ", from.upstreams, to.upstreams,
                  [&](const std::string& subject, const upstream* before, const upstream* after) {
                      compare_upstream(subject, before, after, result);
                  });
    compare_values("objectives", values_of(from.objectives), values_of(to.objectives), result);
    return result;
}

} // namespace savorytrail::manifest
