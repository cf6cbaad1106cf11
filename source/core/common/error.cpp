// Messages of the project's error codes.
#include "core/common/error.h"

#include <string>

namespace savorytrail::common {
namespace {

class category final : public std::error_category {
public:
    const char* name() const noexcept override { return "savorytrail"; }

    std::string message(int value) const override {
        switch (static_cast<error>(value)) {
        case error::malformed:
            return "malformed message";
        case error::timed_out:
            return "no answer within the time bound";
        case error::unreachable:
            return "not reached, nothing was sent";
        case error::connection_refused:
            return "connection refused, nothing was sent";
        case error::connection_lost:
            return "connection lost after bytes were sent";
        case error::conflict:
            return "version conflict";
        case error::not_found:
            return "not found";
        case error::unavailable:
            return "unavailable";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category& error_category() noexcept {
    static const category s_category;
    return s_category;
}

bool is_unsent(const std::error_code& ec) noexcept {
    return ec == error::unreachable || ec == error::connection_refused;
}

} // namespace savorytrail::common
