// Client that fetches the configuration and changes of the live list from peers.
#pragma once

#include <cstdint>
#include <optional>

#include "core/common/clock.h"
#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/manifest/manifest.h"
#include "core/peer/channel_pool.h"
#include "core/platform/platform.h"

namespace savorytrail::propagation {

class client {
public:
    client(peer::channel_pool& channels, common::milliseconds call_timeout)
        : m_channels(channels), m_call_timeout(call_timeout) {}

    // The peer's configuration if its version is above `version`. Fails with error::malformed if
    // this program cannot parse it.
    common::result<std::optional<manifest::versioned_manifest>>
    fetch_configuration(const common::endpoint& from, std::uint64_t version);

    // The changes after `revision`; empty with revision 0 if the peer has no list.
    common::result<platform::vm_changes> fetch_live_list(const common::endpoint& from,
                                                         std::uint64_t revision);

private:
    peer::channel_pool& m_channels;
    const common::milliseconds m_call_timeout;
};

} // namespace savorytrail::propagation
