// The calls of a hand-over by gRPC.
#pragma once

#include "core/handover/link.h"
#include "core/peer/channel_pool.h"

namespace savorytrail::handover {

class client final : public link {
public:
    client(peer::channel_pool& channels, common::milliseconds call_timeout)
        : m_channels(channels), m_call_timeout(call_timeout) {}

    common::result<submission::incarnation> hand_over(const common::endpoint& to,
                                                      const std::vector<estate>& estates) override;
    common::result<void> announce(const common::endpoint& to,
                                  const std::vector<heir_notice>& notices) override;

private:
    peer::channel_pool& m_channels;
    const common::milliseconds m_call_timeout; // a hand-over may take transfer_factor times as long
};

} // namespace savorytrail::handover
