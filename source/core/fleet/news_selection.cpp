#include "core/fleet/news_selection.h"

#include "core/fleet/link_choice.h"

namespace savorytrail::fleet {
namespace {

using common::milliseconds;

constexpr std::uint64_t max_offset = 1 << 16;

entry_news news_of(const peer& it, bool introduces, common::time_point now) {
    entry_news news;
    news.key = it.key;
    if (introduces) {
        news.identity = it.identity;
    }
    news.status = it.status;
    news.status.configuration_version = 0;
    news.status.configuration_age.reset();
    news.status.executor_list_age.reset();
    news.status.executor_list_version = 0;
    news.status.domain_executors = 0;
    news.age = std::chrono::duration_cast<milliseconds>(now - *it.last_sign);
    return news;
}

} // namespace

news_selection::news_selection(const view& fleet, bool is_relay, common::time_point now)
    : m_fleet(fleet), m_is_relay(is_relay), m_now(now),
      m_offset(static_cast<std::size_t>(fleet.self_key() % max_offset)) {
    const auto& own_domain = fleet.self().failure_domain;
    for (const auto* it : fleet.live_peers(now)) {
        if (it->key != 0 && it->identity.failure_domain == own_domain) {
            m_for_own_domain.push_back(it);
        }
    }
    for (const auto& domain : fleet.live_domains(now)) {
        for (const auto* it : relays(fleet, domain, now)) {
            if (it == nullptr) {
                continue;
            }
            m_for_other_domains.push_back(it);
            if (domain != own_domain) {
                m_for_own_domain.push_back(it);
            }
        }
    }
}

std::vector<entry_news> news_selection::next(const peer& recipient, link_state& link) const {
    const bool is_own_domain = recipient.identity.failure_domain == m_fleet.self().failure_domain;
    const auto& entries = is_own_domain ? m_for_own_domain : m_for_other_domains;
    const bool introduces_all = link.introduced < entries.size();
    std::vector<entry_news> news;
    if (entries.empty() || (!m_is_relay && !introduces_all)) {
        return news;
    }
    const std::size_t n =
        std::min(entries.size(), introduces_all ? m_limits.max_introductions : m_limits.max_news);
    std::size_t introductions = 0;
    // Relays begin at different entries, so that a recipient gets news of each from one or another.
    const std::size_t first = m_offset + link.next_news;
    for (std::size_t i = 0; i < n; i++) {
        const auto* it = entries[(first + i) % entries.size()];
        const bool is_new = m_now - it->new_since < m_limits.introduction_time;
        // One at least, for recipients that have missed an introduction.
        const bool introduces =
            introduces_all || i == 0 || (is_new && introductions < m_limits.max_introductions);
        introductions += introduces ? 1 : 0;
        if (it != &recipient) {
            news.push_back(news_of(*it, introduces, m_now));
        }
    }
    // When all fit, another one comes first the next time.
    link.next_news = (link.next_news + (n == entries.size() ? 1 : n)) % entries.size();
    link.introduced += introduces_all ? n : 0;
    return news;
}

} // namespace savorytrail::fleet
