// Serves calls from other entries over gRPC.
#pragma once

#include <functional>
#include <memory>
#include <system_error>

#include "core/common/endpoint.h"
#include "core/peer/types.h"

namespace savorytrail::peer {

// Serves forwarded requests. `done` is called once, from any thread, when the result is known; the
// server itself replies `running` when the request's wait is over before.
class request_handler {
public:
    using done_function = std::function<void(forward_result)>;

    virtual ~request_handler() = default;
    virtual void handle(forward_request request, done_function done) = 0;
    virtual submission::incarnation self() const = 0;

protected:
    request_handler() = default;
    request_handler(const request_handler&) = default;
    request_handler& operator=(const request_handler&) = default;
};

class server {
public:
    explicit server(request_handler& handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::error_code start(const common::endpoint& address);
    // Ends calls that are still open after `grace`.
    void stop(common::milliseconds grace);

private:
    class service;
    std::unique_ptr<service> m_service;
};

} // namespace savorytrail::peer
