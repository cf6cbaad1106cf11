// Interface for the remote calls of a hand-over.
#pragma once

#include <vector>

#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/handover/types.h"

namespace savorytrail::handover {

class transport {
public:
    virtual ~transport() = default;

    // Returns the incarnation that accepted all snapshots. error::conflict means that the peer
    // refused; after any other error the peer may or may not hold them.
    virtual common::result<submission::incarnation>
    hand_over(const common::endpoint& to, const std::vector<home_snapshot>& snapshots) = 0;

    virtual common::result<void> announce(const common::endpoint& to,
                                          const std::vector<successor_notice>& notices) = 0;

protected:
    transport() = default;
    transport(const transport&) = default;
    transport& operator=(const transport&) = default;
};

} // namespace savorytrail::handover
