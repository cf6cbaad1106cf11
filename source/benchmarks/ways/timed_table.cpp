// Delays the table's calls.
#include "benchmarks/ways/timed_table.h"

#include <thread>

namespace savorytrail::benchmarks {

common::result<std::optional<platform::row>> timed_table::read_newer(const std::string& key,
                                                                     std::uint64_t version) {
    if (const auto ec = wait())
        return ec;
    return m_table.read_newer(key, version);
}

common::result<std::vector<platform::row>> timed_table::list(const std::string& prefix) {
    if (const auto ec = wait())
        return ec;
    return m_table.list(prefix);
}

common::result<platform::commit_outcome>
timed_table::commit(const std::vector<platform::operation>& operations) {
    if (const auto ec = wait())
        return ec;
    return m_table.commit(operations);
}

std::error_code timed_table::wait() const {
    if (m_condition.is_down)
        return make_error_code(common::error::unreachable);
    std::this_thread::sleep_for(m_condition.call_time);
    return {};
}

} // namespace savorytrail::benchmarks
