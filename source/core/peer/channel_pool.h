// Keeps one gRPC channel for each peer address, shared by all services.
#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "core/common/endpoint.h"

namespace grpc {
class Channel;
}

namespace savorytrail::peer {

class channel_pool {
public:
    channel_pool() = default;
    channel_pool(const channel_pool&) = delete;
    channel_pool& operator=(const channel_pool&) = delete;

    std::shared_ptr<grpc::Channel> get(const common::endpoint& address);

private:
    std::mutex m_mutex;
    absl::flat_hash_map<std::string, std::shared_ptr<grpc::Channel>>
        m_channels; // guarded by m_mutex
};

} // namespace savorytrail::peer
