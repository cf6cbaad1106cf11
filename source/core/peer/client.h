// Client that forwards callers' requests to the homes of their submission ids.
#pragma once

#include <functional>

#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/peer/channel_pool.h"
#include "core/peer/types.h"

namespace savorytrail::peer {

// Interface through which routing reaches other entries.
class forwarder {
public:
    virtual ~forwarder() = default;

    // Fails with error::timed_out, or with error::unavailable if the peer was not reached or the
    // connection broke. In both cases the peer may have received the request.
    virtual common::result<forward_result> forward(const common::endpoint& to,
                                                   const forward_request& request) = 0;

protected:
    forwarder() = default;
    forwarder(const forwarder&) = default;
    forwarder& operator=(const forwarder&) = default;
};

class client final : public forwarder {
public:
    // `call_timeout` is added to the wait of each request to give the deadline of its call.
    // `on_send` is called before each request is sent.
    client(
        channel_pool& channels, common::milliseconds call_timeout,
        std::function<void()> on_send = [] {})
        : m_channels(channels), m_call_timeout(call_timeout), m_on_send(std::move(on_send)) {}

    common::result<forward_result> forward(const common::endpoint& to,
                                           const forward_request& request) override;

private:
    channel_pool& m_channels;
    const common::milliseconds m_call_timeout;
    const std::function<void()> m_on_send;
};

} // namespace savorytrail::peer
