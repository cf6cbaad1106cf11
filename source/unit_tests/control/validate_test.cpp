// Validation of files and printing of settings.
#include "core/control/validate.h"

#include <gtest/gtest.h>

#include "unit_tests/control/fake_environment.h"

namespace savorytrail::control {
namespace {

TEST(validate, prints_problems_to_standard_error) {
    captured_output output;
    console io = output.as_text();
    const std::string path = write_file("invalid.toml", "[log]\nlevel = 1\n");
    EXPECT_EQ(validate(path, file_kind::settings, io), exit_status::bad_input);
    EXPECT_EQ(output.out.str(), "");
    EXPECT_NE(output.err.str().find(path + ":2:9: log.level: expected one of"), std::string::npos);
}

TEST(validate, prints_problems_as_json) {
    captured_output output;
    console io = output.as_json();
    EXPECT_EQ(validate("/nowhere.toml", file_kind::manifest, io), exit_status::bad_input);
    EXPECT_EQ(output.out.str(),
              R"({"outcome":"invalid","problems":[{"column":0,"file":"/nowhere.toml","key":"",)"
              R"("line":0,"message":"cannot be read: No such file or directory"}]})"
              "\n");
}

TEST(print_settings, without_a_file_prints_the_defaults) {
    captured_output output;
    console io = output.as_text();
    EXPECT_EQ(print_settings({"", {"callers.threads=8"}}, io), exit_status::ok);
    EXPECT_NE(output.out.str().find("\nread_timeout_ms = 5000\n"), std::string::npos);
    EXPECT_NE(output.out.str().find("\nthreads = 8\n"), std::string::npos);
    EXPECT_NE(output.out.str().find("\nname = \"\"\n"), std::string::npos);
}

TEST(print_settings, rejects_an_invalid_assignment) {
    captured_output output;
    console io = output.as_text();
    EXPECT_EQ(print_settings({"", {"callers.threads=1"}}, io), exit_status::bad_input);
    EXPECT_EQ(output.err.str(), "--set callers.threads=1: callers.threads: expected a whole number "
                                "from 4 to 4096, found 1\n");
}

} // namespace
} // namespace savorytrail::control
