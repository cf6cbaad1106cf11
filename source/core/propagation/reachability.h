// Tracks whether platform calls of one kind succeed, and logs each change.
#pragma once

#include <string>
#include <system_error>

namespace savorytrail::propagation {

// Not thread-safe: used by one thread.
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
