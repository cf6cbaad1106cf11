// Service that receives callers' requests which other entries forward to a submission id's home.
#pragma once

#include <functional>
#include <memory>

#include "core/peer/types.h"

namespace grpc {
class Service;
}

namespace savorytrail::peer {

// Handles forwarded requests. `done` is called once, from any thread, when the result is known. If
// the request's wait ends earlier, the service itself replies `running`.
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

std::unique_ptr<grpc::Service> make_forward_service(request_handler& handler);

} // namespace savorytrail::peer
