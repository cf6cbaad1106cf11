// Tests of complete runs over saved scrapes.
#include "core/report/run.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "core/report/saved_scrapes.h"

namespace savorytrail::report {
namespace {

const char* const objectives = "savory_objective_ratio{objective=\"response_over_ideal\"} 1.5\n"
                               "savory_objective_ratio{objective=\"response_share\"} 0.9\n"
                               "savory_objective_ratio{objective=\"availability\"} 0.99\n";

std::string answers(int complete, int failed) {
    return "savory_answers_total{state=\"complete\",reason=\"none\"} " + std::to_string(complete) +
           "\nsavory_answers_total{state=\"failed\",reason=\"task_failed\"} " +
           std::to_string(failed) + "\n" + objectives;
}

struct run_case {
    const char* name;
    std::string content;
    exit_status expected;
};

class saved_run : public testing::TestWithParam<run_case> {};

TEST_P(saved_run, exits_with_the_status_of_its_scrapes) {
    const std::string path = testing::TempDir() + "savory_report_" + GetParam().name;
    std::ofstream(path) << GetParam().content;
    run_options options;
    options.from = {path};
    std::ostringstream out;
    std::ostringstream err;
    EXPECT_EQ(run(options, out, err), GetParam().expected) << err.str();
    EXPECT_EQ(out.str().empty(), GetParam().expected == exit_status::bad_input);
    std::remove(path.c_str());
}

INSTANTIATE_TEST_SUITE_P(
    table, saved_run,
    testing::Values(
        run_case{"fine",
                 to_json_line({0, "a", answers(0, 0)}) + to_json_line({60, "a", answers(100, 0)}),
                 exit_status::ok},
        run_case{"burning",
                 to_json_line({0, "a", answers(0, 0)}) + to_json_line({60, "a", answers(80, 20)}),
                 exit_status::burning},
        run_case{"out_of_order",
                 to_json_line({60, "a", answers(80, 20)}) + to_json_line({0, "a", answers(0, 0)}),
                 exit_status::burning},
        run_case{"one_scrape", to_json_line({0, "a", answers(0, 0)}), exit_status::bad_input},
        run_case{"no_objectives", to_json_line({0, "a", "x 1\n"}) + to_json_line({1, "a", "x 1\n"}),
                 exit_status::bad_input},
        run_case{"not_json", "x", exit_status::bad_input},
        run_case{"empty", "", exit_status::bad_input}),
    [](const auto& it) { return it.param.name; });

TEST(run, reports_an_unreachable_entry) {
    run_options options;
    options.entries = {{"127.77.0.1", 9}};
    options.scrapes = 1;
    std::ostringstream out;
    std::ostringstream err;
    EXPECT_EQ(run(options, out, err), exit_status::unreachable);
    EXPECT_NE(err.str().find("127.77.0.1:9"), std::string::npos);
}

} // namespace
} // namespace savorytrail::report
