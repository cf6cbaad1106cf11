// Tests of the list of changes between two manifests.
#include "core/manifest/difference.h"

#include <gtest/gtest.h>

#include <functional>

namespace savorytrail::manifest {
namespace {

manifest base_manifest() {
    return {.teams = {{"desk", 200}},
            .upstreams = {{.name = "booking",
                           .task_timeout = common::milliseconds(4000),
                           .executors = {{"b-1", "zilina", "b-1", {"10.0.0.1", 80}, 8, 60},
                                         {"b-2", "martin", "b-2", {"10.0.0.2", 80}, 8, 60}}}},
            .objectives = {1.5, 0.99, 0.999}};
}

struct difference_case {
    const char* name;
    std::function<void(manifest&)> edit;
    std::vector<std::string> changes;
};

std::ostream& operator<<(std::ostream& out, const difference_case& it) {
    return out << it.name;
}

class differences : public testing::TestWithParam<difference_case> {};

TEST_P(differences, list_each_changed_value) {
    manifest to = base_manifest();
    GetParam().edit(to);
    std::vector<std::string> changes;
    for (const change& it : difference(base_manifest(), to))
        changes.push_back(it.to_string());
    EXPECT_EQ(changes, GetParam().changes);
}

const difference_case cases[] = {
    {"none", [](manifest&) {}, {}},
    {"order_only",
     [](manifest& it) { std::swap(it.upstreams[0].executors[0], it.upstreams[0].executors[1]); },
     {}},
    {"teams",
     [](manifest& it) {
         it.teams = {{"desk", 300}, {"phone", 0}};
     },
     {"~ team desk: max_tasks_per_second: 200 -> 300", "+ team phone"}},
    {"executors",
     [](manifest& it) {
         auto& list = it.upstreams[0].executors;
         list[0].slots = 4;
         list[0].address.port = 81;
         list[1].name = "b-3";
     },
     {"~ executor booking/b-1: address: 10.0.0.1:80 -> 10.0.0.1:81",
      "~ executor booking/b-1: slots: 8 -> 4", "- executor booking/b-2", "+ executor booking/b-3"}},
    {"upstream_replaced",
     [](manifest& it) { it.upstreams = {{.name = "payment", .executors = {}}}; },
     {"- upstream booking", "- executor booking/b-1", "- executor booking/b-2",
      "+ upstream payment"}},
    {"upstream_and_objectives",
     [](manifest& it) {
         it.upstreams[0].not_accepted_status = 429;
         it.objectives.availability = 0.99;
     },
     {"~ upstream booking: not_accepted_status: 0 -> 429",
      "~ objectives: availability: 0.999 -> 0.99"}},
};

INSTANTIATE_TEST_SUITE_P(difference, differences, testing::ValuesIn(cases),
                         [](const auto& it) { return std::string(it.param.name); });

} // namespace
} // namespace savorytrail::manifest
