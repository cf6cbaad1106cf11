// Fetches the configuration and changes of the live list from peers.
#pragma once

#include <cstdint>
#include <optional>

#include "core/common/clock.h"
#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/manifest/manifest.h"
#include "core/peer/channels.h"
#include "core/platform/platform.h"

namespace savorytrail::propagation {

class client {
public:
    client(peer::channels& channels, common::milliseconds call_timeout)
        : m_channels(channels), m_call_timeout(call_timeout) {}

    // The peer's configuration if its version is above `version`. error::malformed when this
    // program cannot read it.
    common::result<std::optional<manifest::versioned_manifest>>
    fetch_configuration(const common::endpoint& from, std::uint64_t version);

    // The changes since `revision`; none, with revision 0, when the peer has no list.
    common::result<platform::vm_changes> fetch_live_list(const common::endpoint& from,
                                                         std::uint64_t revision);

private:
    peer::channels& m_channels;
    const common::milliseconds m_call_timeout;
};

} // namespace savorytrail::propagation
