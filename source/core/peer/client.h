// Calls to other entries. One kept gRPC channel for each address.
#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/peer/types.h"

namespace savorytrail::schema {
class entry_peer;
}

namespace savorytrail::peer {

class client {
public:
    // `call_timeout` bounds a call beyond the wait that it carries.
    explicit client(common::milliseconds call_timeout);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    common::result<forward_result> forward(const common::endpoint& to,
                                           const forward_request& request);

private:
    struct channel;
    std::shared_ptr<channel> channel_of(const common::endpoint& to);

    const common::milliseconds m_call_timeout;
    std::mutex m_mutex;
    absl::flat_hash_map<std::string, std::shared_ptr<channel>> m_channels; // guarded by m_mutex
};

} // namespace savorytrail::peer
