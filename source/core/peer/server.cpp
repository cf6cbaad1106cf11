// Configures and starts the gRPC server.
#include "core/peer/server.h"

#include <grpcpp/grpcpp.h>

#include "core/peer/limits.h"

namespace savorytrail::peer {
namespace {

constexpr int min_ping_interval_ms = 500;

} // namespace

server::server() = default;

server::~server() {
    stop(common::milliseconds(0));
}

std::error_code server::start(const common::endpoint& address,
                              const std::vector<grpc::Service*>& services) {
    int port = 0;
    grpc::ServerBuilder builder;
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    // Peers ping connections with open calls but no traffic; see channel_pool.cpp.
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               min_ping_interval_ms);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.AddListeningPort(address.to_string(), grpc::InsecureServerCredentials(), &port);
    for (auto* it : services)
        builder.RegisterService(it);
    m_server = builder.BuildAndStart();
    if (!m_server || port != address.port)
        return std::make_error_code(std::errc::address_in_use);
    return {};
}

void server::stop(common::milliseconds grace) {
    if (!m_server)
        return;
    m_server->Shutdown(std::chrono::system_clock::now() + grace);
    m_server = nullptr;
}

} // namespace savorytrail::peer
