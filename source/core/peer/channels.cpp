// Channel creation.
#include "core/peer/channels.h"

#include <grpcpp/grpcpp.h>

#include "core/peer/limits.h"

namespace savorytrail::peer {
namespace {

constexpr int min_reconnect_ms = 100;
constexpr int max_reconnect_ms = 1000;

} // namespace

std::shared_ptr<grpc::Channel> channels::to(const common::endpoint& address) {
    const std::lock_guard lock(m_mutex);
    auto& it = m_channels[address.to_string()];
    if (it)
        return it;

    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, min_reconnect_ms);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, min_reconnect_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_ms);
    it = grpc::CreateCustomChannel("ipv4:" + address.to_string(),
                                   grpc::InsecureChannelCredentials(), arguments);
    return it;
}

} // namespace savorytrail::peer
