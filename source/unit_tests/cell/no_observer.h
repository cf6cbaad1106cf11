// For tests that do not look at the events of executors and jobs.
#pragma once

#include "core/cell/dispatcher.h"

namespace savorytrail::cell {

class no_observer final : public executor_observer, public job_observer {
public:
    void executor_changed(const std::string&, std::string_view, std::string_view) override {}
    void job_event(const std::string&, std::string_view, const std::string&) override {}
};

} // namespace savorytrail::cell
