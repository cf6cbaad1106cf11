// The calls of a hand-over, as the deciding code sees them.
#pragma once

#include <vector>

#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/handover/types.h"

namespace savorytrail::handover {

class transport {
public:
    virtual ~transport() = default;

    // The incarnation that took all estates over. error::conflict when it refused; any other error
    // leaves open whether it has them.
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
