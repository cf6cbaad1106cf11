// Selects the news that a heartbeat carries. Each heartbeat has room for a few entries; over
// several heartbeats a recipient gets news of all entries that concern it: those of its own failure
// domain, and those of the other domains that dispatch. So the size of a heartbeat does not depend
// on the size of the fleet, and only the age of the news does.
#pragma once

#include <vector>

#include "core/fleet/view.h"

namespace savorytrail::fleet {

struct news_limits {
    std::size_t max_news = 16;
    // At most so many with an introduction: those of a link on which not all entries have been
    // introduced yet, or of entries that have just appeared or begun to dispatch.
    std::size_t max_introductions = 8;
    common::milliseconds introduction_time{4000}; // longer than the news of all entries take

    bool operator==(const news_limits&) const = default;
};

class news_selection {
public:
    // `is_relay`: this entry passes on news. Other entries only introduce, on new links.
    news_selection(const view& fleet, bool is_relay, common::time_point now);

    // The next news for the entry; `link` remembers which it had.
    std::vector<entry_news> next(const peer& recipient, link_state& link) const;

private:
    using list = std::vector<const peer*>;

    const view& m_fleet;
    const bool m_is_relay;
    const common::time_point m_now;
    const std::size_t m_offset; // differs from entry to entry
    const news_limits m_limits;
    list m_for_own_domain;
    list m_for_other_domains;
};

} // namespace savorytrail::fleet
