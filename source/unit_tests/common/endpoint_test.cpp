// Tests of endpoint parsing.
#include "core/common/endpoint.h"

#include <gtest/gtest.h>

namespace savorytrail::common {
namespace {

struct endpoint_case {
    const char* text;
    std::optional<endpoint> expected;
};

class endpoint_parsing : public testing::TestWithParam<endpoint_case> {};

TEST_P(endpoint_parsing, reads_numeric_addresses_only) {
    EXPECT_EQ(parse_endpoint(GetParam().text), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, endpoint_parsing,
    testing::Values(
        endpoint_case{"10.1.2.3:80", endpoint{"10.1.2.3", 80}},
        endpoint_case{"10.1.2.3:65535", endpoint{"10.1.2.3", 65535}},
        endpoint_case{"10.1.2.3:65536", std::nullopt}, endpoint_case{"10.1.2.3:0", std::nullopt},
        endpoint_case{"10.1.2.3:", std::nullopt}, endpoint_case{"10.1.2.3:8x", std::nullopt},
        endpoint_case{"10.1.2.3", std::nullopt}, endpoint_case{"localhost:80", std::nullopt},
        endpoint_case{"10.1.2.300:80", std::nullopt}, endpoint_case{"", std::nullopt}));

TEST(http_url_parsing, takes_scheme_and_final_slash) {
    EXPECT_EQ(parse_http_url("http://10.0.0.1:7000/"), (endpoint{"10.0.0.1", 7000}));
    EXPECT_EQ(parse_http_url("https://10.0.0.1:7000"), std::nullopt);
}

} // namespace
} // namespace savorytrail::common
