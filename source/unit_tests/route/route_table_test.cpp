// Tests of finding the queue for a host and path.
#include "core/route/route_table.h"

#include <gtest/gtest.h>

namespace savorytrail::route {
namespace {

route make_route(const char* host, const char* prefix, const char* queue) {
    route it;
    it.host = host;
    it.prefix = prefix;
    it.queue.name = queue;
    return it;
}

struct find_case {
    const char* host;
    const char* path;
    const char* queue; // nullptr: no route
};

class routes : public testing::TestWithParam<find_case> {};

TEST_P(routes, are_found_by_host_and_longest_prefix) {
    route_table table;
    table.adopt({3,
                 {make_route("h.example", "/a/", "short"), make_route("h.example", "/a/b/", "long"),
                  make_route("i.example", "/a/", "other")}});
    const auto* found = table.find(GetParam().host, GetParam().path);
    ASSERT_EQ(found != nullptr, GetParam().queue != nullptr);
    if (found != nullptr) {
        EXPECT_EQ(found->queue.name, GetParam().queue);
    }
}

INSTANTIATE_TEST_SUITE_P(table, routes,
                         testing::Values(find_case{"h.example", "/a/x", "short"},
                                         find_case{"H.Example:80", "/a/x", "short"},
                                         find_case{"h.example", "/a/b/x", "long"},
                                         find_case{"i.example", "/a/b/x", "other"},
                                         find_case{"h.example", "/c/x", nullptr},
                                         find_case{"j.example", "/a/x", nullptr},
                                         find_case{"", "/a/x", nullptr}));

TEST(route_table, rejects_older_configurations) {
    route_table table;
    EXPECT_TRUE(table.adopt({3, {make_route("h", "/", "new")}}));
    EXPECT_FALSE(table.adopt({3, {}}));
    EXPECT_FALSE(table.adopt({2, {}}));
    EXPECT_EQ(table.version(), 3U);
    EXPECT_NE(table.find("h", "/"), nullptr);
}

// Load pattern: the configuration grows by more than a thousand routes of one host.
TEST(route_table, finds_each_of_many_routes) {
    constexpr int routes = 1400;
    configuration large{1, {make_route("h.example", "/", "root")}};
    for (int i = 0; i < routes; i++) {
        const auto name = "q" + std::to_string(i);
        large.routes.push_back(make_route("h.example", ("/" + name + "/").c_str(), name.c_str()));
    }
    route_table table;
    EXPECT_TRUE(table.adopt(large));
    for (int i = 0; i < routes; i++) {
        const auto name = "q" + std::to_string(i);
        EXPECT_EQ(table.find("h.example", "/" + name + "/0123456789abcdef")->queue.name, name);
    }
    EXPECT_EQ(table.find("h.example", "/q1400/x")->queue.name, "root");
}

struct defect_case {
    const char* name;
    std::vector<route> routes;
    const char* cause; // part of it; empty: no defect
};

class defects : public testing::TestWithParam<defect_case> {};

TEST_P(defects, are_told) {
    const auto cause = find_defect({1, GetParam().routes});
    EXPECT_EQ(cause.has_value(), *GetParam().cause != 0);
    EXPECT_NE(cause.value_or("").find(GetParam().cause), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    table, defects,
    testing::Values(
        defect_case{"none", {make_route("h", "/a/", "x"), make_route("i", "/a/", "y")}, ""},
        defect_case{"no_path", {make_route("h", "a/", "x")}, "is no path"},
        defect_case{
            "duplicate", {make_route("h", "/a/", "x"), make_route("H", "/a/", "y")}, "two routes"}),
    [](const testing::TestParamInfo<defect_case>& it) { return std::string(it.param.name); });

} // namespace
} // namespace savorytrail::route
