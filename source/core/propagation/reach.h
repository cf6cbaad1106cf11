// Whether calls of one kind to the platform work, with a log line at each change.
#pragma once

#include <string>
#include <system_error>

namespace savorytrail::propagation {

// Used by one thread.
class reach {
public:
    explicit reach(std::string call) : m_call(std::move(call)) {}

    void failed(const std::error_code& problem);
    void worked();

private:
    const std::string m_call;
    bool m_is_reached = true;
};

} // namespace savorytrail::propagation
