// A link between two entries: they send each other heartbeats at the interval that either of them
// wants, and each counts the other as lost when these stay out.
#pragma once

#include <optional>

#include "core/common/clock.h"

namespace savorytrail::fleet {

enum class link_kind {
    none,
    loose,
    close, // between entries of a failure domain that must act fast on each other's failure
};

struct link_limits {
    common::milliseconds interval; // between heartbeats
    common::milliseconds timeout;  // without a heartbeat, before the other entry is lost
    // The same once a connection to it was lost. The reset alone does not show that it has failed.
    common::milliseconds timeout_disconnected;

    bool operator==(const link_limits&) const = default;
};

// This entry's side of the link to one other entry.
struct link_state {
    link_kind kind = link_kind::none;   // the closer one of what the two entries want
    link_kind wanted = link_kind::none; // by this entry
    std::optional<common::time_point> wanted_since;
    link_kind requested = link_kind::none; // by the other entry
    common::time_point requested_until;
    std::optional<common::time_point> in_use_until;
    std::optional<common::time_point> since; // since when there is a link
    common::time_point close_since;          // valid while the link is close
    std::optional<common::time_point> last_sent;
    std::size_t next_news = 0;  // position in the list of entries that there are news of
    std::size_t introduced = 0; // entries introduced over this link
};

} // namespace savorytrail::fleet
