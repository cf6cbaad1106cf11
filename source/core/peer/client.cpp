// The gRPC side of calls to peers.
#include "core/peer/client.h"

#include <grpcpp/grpcpp.h>

#include "core/peer/codec.h"
#include "peer.grpc.pb.h"

namespace savorytrail::peer {
namespace {

constexpr int max_message_bytes = 80 << 20;
constexpr int min_reconnect_ms = 100;
constexpr int max_reconnect_ms = 1000;

} // namespace

struct client::channel {
    std::shared_ptr<grpc::Channel> grpc_channel;
    std::unique_ptr<schema::entry_peer::Stub> stub;
};

client::client(common::milliseconds call_timeout) : m_call_timeout(call_timeout) {}

client::~client() = default;

common::result<forward_result> client::forward(const common::endpoint& to,
                                               const forward_request& request) {
    schema::forward_request message;
    to_message(request, message);
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + request.wait + m_call_timeout);
    schema::forward_reply reply;
    const auto status = channel_of(to)->stub->forward(&context, message, &reply);
    if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
        return make_error_code(common::error::timed_out);
    if (!status.ok())
        return make_error_code(common::error::unavailable);
    auto result = from_message(reply);
    if (!result)
        return make_error_code(common::error::malformed);
    return std::move(*result);
}

std::shared_ptr<client::channel> client::channel_of(const common::endpoint& to) {
    const std::lock_guard lock(m_mutex);
    auto& it = m_channels[to.to_string()];
    if (it)
        return it;

    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, min_reconnect_ms);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, min_reconnect_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_ms);
    it = std::make_shared<channel>();
    it->grpc_channel = grpc::CreateCustomChannel("ipv4:" + to.to_string(),
                                                 grpc::InsecureChannelCredentials(), arguments);
    it->stub = schema::entry_peer::NewStub(it->grpc_channel);
    return it;
}

} // namespace savorytrail::peer
