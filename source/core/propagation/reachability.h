// Whether calls of one kind to the platform work, with a log line at each change.
#pragma once

#include <string>
#include <system_error>

namespace savorytrail::propagation {

// Used by one thread.
class reachability {
public:
    explicit reachability(std::string call) : m_call(std::move(call)) {}

    void note_failure(const std::error_code& error);
    void note_success();

private:
    const std::string m_call;
    bool m_is_reachable = true;
};

} // namespace savorytrail::propagation
