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

} // namespace
} // namespace savorytrail::route
