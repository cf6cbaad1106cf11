// Log lines about the platform's reach.
#include "core/propagation/reach.h"

#include "core/telemetry/log.h"

namespace savorytrail::propagation {

using telemetry::log_line;
using telemetry::severity;

void reach::failed(const std::error_code& problem) {
    if (!m_is_reached)
        return;
    m_is_reached = false;
    log_line(severity::warning, "platform_unreachable")
        .field("call", m_call)
        .field("problem", problem.message());
}

void reach::worked() {
    if (m_is_reached)
        return;
    m_is_reached = true;
    log_line(severity::info, "platform_reached").field("call", m_call);
}

} // namespace savorytrail::propagation
