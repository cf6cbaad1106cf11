// Creates gRPC channels with reconnect and keepalive settings.
#include "core/peer/channel_pool.h"

#include <grpcpp/grpcpp.h>

#include "core/peer/limits.h"

namespace savorytrail::peer {
namespace {

constexpr int min_reconnect_ms = 100;
constexpr int max_reconnect_ms = 1000;
// A connection with an open call but no traffic for this long is pinged. If the ping times out, the
// connection is closed, its calls fail as unavailable, and the next call opens a new connection.
constexpr int keepalive_time_ms = 2000;
constexpr int keepalive_timeout_ms = 1000;

} // namespace

std::shared_ptr<grpc::Channel> channel_pool::get(const common::endpoint& address) {
    const std::lock_guard lock(m_mutex);
    auto& it = m_channels[address.to_string()];
    if (it)
        return it;

    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, min_reconnect_ms);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, min_reconnect_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_time_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 0);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    it = grpc::CreateCustomChannel("ipv4:" + address.to_string(),
                                   grpc::InsecureChannelCredentials(), arguments);
    return it;
}

} // namespace savorytrail::peer
