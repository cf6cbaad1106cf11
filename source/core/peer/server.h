// The gRPC server for calls from other entries. Each subsystem provides its own service.
#pragma once

#include <memory>
#include <system_error>
#include <vector>

#include "core/common/clock.h"
#include "core/common/endpoint.h"

namespace grpc {
class Server;
class Service;
} // namespace grpc

namespace savorytrail::peer {

class server {
public:
    server();
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // The services must outlive the server.
    std::error_code start(const common::endpoint& address,
                          const std::vector<grpc::Service*>& services);
    // Cancels calls that are still open after `grace`.
    void stop(common::milliseconds grace);

private:
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace savorytrail::peer
