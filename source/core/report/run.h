// The savory-report program without its command line: collects, loads and saves scrapes, and writes
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
    unreachable = 3, // no scrape of an entry succeeded
};

struct run_options {
    std::vector<common::endpoint> entries;
    std::vector<std::string> from; // files with saved scrapes
    std::string save;              // file that scrapes are appended to; empty for none
    std::string manifest;          // file; empty to take the objectives from the scrapes
    std::string html;              // file; empty for none
    std::size_t scrapes = 2;
    std::chrono::milliseconds interval{10000};
    bool json = false;
};

exit_status run(const run_options& options, std::ostream& out, std::ostream& err);

} // namespace savorytrail::report
