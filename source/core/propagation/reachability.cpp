// Logs changes of the platform's reachability.
#include "core/propagation/reachability.h"

#include "core/telemetry/log.h"

namespace savorytrail::propagation {

using telemetry::log_line;
using telemetry::severity;

void reachability::note_failure(const std::error_code& error) {
    if (!m_is_reachable)
        return;
    m_is_reachable = false;
    log_line(severity::warning, "platform_unreachable")
        .field("call", m_call)
        .field("problem", error.message());
}

void reachability::note_success() {
    if (m_is_reachable)
        return;
    m_is_reachable = true;
    log_line(severity::info, "platform_reached").field("call", m_call);
}

} // namespace savorytrail::propagation
