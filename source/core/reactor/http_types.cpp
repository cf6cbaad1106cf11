#include "core/reactor/http_types.h"

#include "absl/strings/match.h"

namespace savorytrail::reactor {

std::string find_header(const std::vector<header>& headers, const std::string& name) {
    for (const auto& it : headers) {
        if (absl::EqualsIgnoreCase(it.name, name)) {
            return it.value;
        }
    }
    return {};
}

} // namespace savorytrail::reactor
