// The hand-over transport over gRPC.
#pragma once

#include "core/handover/transport.h"
#include "core/peer/channel_pool.h"

namespace savorytrail::handover {

class client final : public transport {
public:
    client(peer::channel_pool& channels, common::milliseconds call_timeout)
        : m_channels(channels), m_call_timeout(call_timeout) {}

    common::result<submission::incarnation>
    hand_over(const common::endpoint& to, const std::vector<home_snapshot>& snapshots) override;
    common::result<void> announce(const common::endpoint& to,
                                  const std::vector<successor_notice>& notices) override;

private:
    peer::channel_pool& m_channels;
    const common::milliseconds m_call_timeout; // times transfer_factor for hand_over()
};

} // namespace savorytrail::handover
