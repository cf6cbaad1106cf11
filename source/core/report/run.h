// The savory-report program without its command line: scrapes, reads and saves scrapes, and writes
// the report.
#pragma once

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

#include "core/common/endpoint.h"

namespace savorytrail::report {

enum class exit_status {
    ok = 0,
    burning = 1,
    bad_input = 2,
    unreachable = 3, // an entry gave no scrape at all
};

struct run_options {
    std::vector<common::endpoint> entries;
    std::vector<std::string> from; // files of saved scrapes
    std::string save;              // file that scrapes are added to; empty for none
    std::string manifest;          // file; empty to take the objectives from the scrapes
    std::string html;              // file; empty for none
    std::size_t scrapes = 2;
    std::chrono::milliseconds interval{10000};
    bool json = false;
};

exit_status run(const run_options& options, std::ostream& out, std::ostream& err);

} // namespace savorytrail::report
