// Sample executors for the tests of fleet.
#pragma once

#include <string>
#include <vector>

#include "core/work/executor.h"

namespace savorytrail::fleet {

// Executors whose ids are their failure domain and a number.
inline std::vector<work::executor_info> make_executors(int n, const std::string& domain) {
    std::vector<work::executor_info> list;
    for (int i = 0; i < n; i++) {
        work::executor_info it;
        it.id = domain + std::to_string(i);
        it.failure_domain = domain;
        list.push_back(it);
    }
    return list;
}

} // namespace savorytrail::fleet
