// gRPC client used by a stopping entry.
#include "core/handover/client.h"

#include <grpcpp/grpcpp.h>

#include "core/handover/codec.h"
#include "handover.grpc.pb.h"

namespace savorytrail::handover {
namespace {

constexpr int transfer_factor = 3;

std::error_code to_error(const grpc::Status& status) {
    if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
        return make_error_code(common::error::timed_out);
    return make_error_code(common::error::unavailable);
}

} // namespace

common::result<submission::incarnation>
client::hand_over(const common::endpoint& to, const std::vector<home_snapshot>& snapshots) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + transfer_factor * m_call_timeout);
    schema::handover_reply reply;
    const auto stub = schema::entry_handover::NewStub(m_channels.get(to));
    const auto stream = stub->hand_over(&context, &reply);
    bool is_open = true;
    for (std::size_t i = 0; i < snapshots.size() && is_open; i++) {
        auto parts = to_parts(snapshots[i]);
        parts.back().set_last(i + 1 == snapshots.size());
        for (const auto& part : parts)
            is_open = is_open && stream->Write(part);
    }
    stream->WritesDone();
    const auto status = stream->Finish();
    if (!status.ok())
        return to_error(status);
    if (!reply.accepted())
        return make_error_code(common::error::conflict);
    return from_message(reply.heir());
}

common::result<void> client::announce(const common::endpoint& to,
                                      const std::vector<successor_notice>& notices) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + m_call_timeout);
    schema::heir_notices message;
    to_message(notices, message);
    schema::heir_notices_reply reply;
    const auto status =
        schema::entry_handover::NewStub(m_channels.get(to))->announce(&context, message, &reply);
    if (!status.ok())
        return to_error(status);
    return common::result<void>(boost::outcome_v2::success());
}

} // namespace savorytrail::handover
