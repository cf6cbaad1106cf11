// Offers are serialized; reading the current configuration never waits for subscribers.
#include "core/configuration/holder.h"

namespace savorytrail::configuration {

holder::pointer holder::current() const {
    const std::lock_guard lock(m_mutex);
    return m_current;
}

std::uint64_t holder::version() const {
    const pointer it = current();
    return it ? it->version : 0;
}

bool holder::offer(manifest::versioned_manifest offered) {
    const std::lock_guard lock(m_offer_mutex);
    if (offered.version <= version())
        return false;
    const auto next = std::make_shared<const manifest::versioned_manifest>(std::move(offered));
    set_current(next);
    for (const subscriber& receive : m_subscribers)
        receive(next);
    return true;
}

void holder::subscribe(subscriber receive) {
    const std::lock_guard lock(m_offer_mutex);
    if (const pointer it = current())
        receive(it);
    m_subscribers.push_back(std::move(receive));
}

void holder::set_current(pointer next) {
    const std::lock_guard lock(m_mutex);
    m_current = std::move(next);
}

} // namespace savorytrail::configuration
