// The calls of a hand-over, as the deciding code sees them.
#pragma once

#include <vector>

#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/handover/types.h"

namespace savorytrail::handover {

class link {
public:
    virtual ~link() = default;

    // The incarnation that took all estates over. error::conflict when it refused; any other error
    // leaves open whether it has them.
    virtual common::result<submission::incarnation>
    hand_over(const common::endpoint& to, const std::vector<estate>& estates) = 0;

    virtual common::result<void> announce(const common::endpoint& to,
                                          const std::vector<heir_notice>& notices) = 0;

protected:
    link() = default;
    link(const link&) = default;
    link& operator=(const link&) = default;
};

} // namespace savorytrail::handover
