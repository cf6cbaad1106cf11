#include "core/work/executor.h"

#include <algorithm>

namespace savorytrail::work {

bool executor_info::has_label(const std::string& label) const {
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

} // namespace savorytrail::work
