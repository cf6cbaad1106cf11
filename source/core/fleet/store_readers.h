// Decides which entries read the platform's store. Load pattern: a fleet of hundreds, in which
// every entry would read every change of every row. A few entries of each failure domain read, and
// pass on what matters; when they lose the store, or are lost, the others read for themselves.
#pragma once

#include "core/fleet/view.h"

namespace savorytrail::fleet {

struct store_reader_limits {
    std::size_t readers_per_domain = 2;
    // A reader whose store has not answered for longer does not count. Longer than the store may
    // take to answer a read that waits for changes.
    common::milliseconds max_store_age{2500};
    // The entries in line begin to read one after the other, in case one of them is enough.
    common::milliseconds start_delay_per_entry{40};

    bool operator==(const store_reader_limits&) const = default;
};

class store_readers {
public:
    explicit store_readers(store_reader_limits limits = {}) : m_limits(limits) {}

    // Whether this entry is to read the store now.
    bool should_read(const view& fleet, common::time_point now);
    // How many entries that go before this one read the store, as of the last call.
    std::size_t others() const { return m_others; }

private:
    const store_reader_limits m_limits;
    std::optional<common::time_point> m_needed_since;
    std::size_t m_others = 0;
};

} // namespace savorytrail::fleet
