// Sends forwarded requests over gRPC.
#include "core/peer/client.h"

#include <grpcpp/grpcpp.h>

#include "core/peer/codec.h"
#include "peer.grpc.pb.h"

namespace savorytrail::peer {

common::result<forward_result> client::forward(const common::endpoint& to,
                                               const forward_request& request) {
    m_on_send();
    schema::forward_request message;
    to_message(request, message);
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + request.wait + m_call_timeout);
    schema::forward_reply reply;
    const auto stub = schema::entry_peer::NewStub(m_channels.get(to));
    const auto status = stub->forward(&context, message, &reply);
    if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
        return make_error_code(common::error::timed_out);
    if (!status.ok())
        return make_error_code(common::error::unavailable);
    auto result = from_message(reply);
    if (!result)
        return make_error_code(common::error::malformed);
    return std::move(*result);
}

} // namespace savorytrail::peer
