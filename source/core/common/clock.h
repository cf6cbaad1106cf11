// The clock interface that is passed to everything that depends on time, so that tests can run
// the same code under simulated time. All decisions use the monotonic clock; wall time appears
// only in logs and reports.
#pragma once

#include <chrono>

namespace savorytrail::common {

using time_point = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

class clock {
public:
    virtual ~clock() = default;
    virtual time_point now() const = 0;
    // Total time that the VM has been suspended since it booted; now() does not include it.
    virtual milliseconds suspended() const { return milliseconds(0); }

protected:
    clock() = default;
    clock(const clock&) = default;
    clock& operator=(const clock&) = default;
};

// The process's monotonic clock.
class system_clock final : public clock {
public:
    time_point now() const override;
    milliseconds suspended() const override;
};

// A clock that changes only through advance() and suspend(). Not synchronised: for single-threaded
// tests.
class manual_clock final : public clock {
public:
    time_point now() const override { return m_now; }
    milliseconds suspended() const override { return m_suspended; }
    void advance(milliseconds step) { m_now += step; }
    void suspend(milliseconds time) { m_suspended += time; }

private:
    time_point m_now = time_point(std::chrono::hours(1));
    milliseconds m_suspended{0};
};

} // namespace savorytrail::common
