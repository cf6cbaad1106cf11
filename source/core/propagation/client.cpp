// Fetches over gRPC.
#include "core/propagation/client.h"

#include <grpcpp/grpcpp.h>

#include "core/propagation/codec.h"
#include "membership.grpc.pb.h"

namespace savorytrail::propagation {
namespace {

using common::error;

std::error_code to_error(const grpc::Status& status) {
    if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
        return make_error_code(error::timed_out);
    return make_error_code(error::unavailable);
}

std::unique_ptr<schema::entry_membership::Stub> stub_of(peer::channel_pool& channels,
                                                        const common::endpoint& to) {
    return schema::entry_membership::NewStub(channels.get(to));
}

} // namespace

common::result<std::optional<manifest::versioned_manifest>>
client::fetch_configuration(const common::endpoint& from, std::uint64_t version) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + m_call_timeout);
    schema::fetch_configuration_request request;
    request.set_version(version);
    schema::fetch_configuration_reply reply;
    const auto status = stub_of(m_channels, from)->fetch_configuration(&context, request, &reply);
    if (!status.ok())
        return to_error(status);
    if (reply.version() <= version)
        return std::optional<manifest::versioned_manifest>();
    auto parsed = manifest::parse(reply.text());
    if (!parsed)
        return make_error_code(error::malformed);
    return std::optional(
        manifest::versioned_manifest{reply.version(), reply.text(), std::move(parsed).value()});
}

common::result<platform::vm_changes> client::fetch_live_list(const common::endpoint& from,
                                                             std::uint64_t revision) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + m_call_timeout);
    schema::fetch_live_list_request request;
    request.set_revision(revision);
    schema::fetch_live_list_reply reply;
    const auto status = stub_of(m_channels, from)->fetch_live_list(&context, request, &reply);
    if (!status.ok())
        return to_error(status);
    auto changes = from_message(reply);
    if (!changes)
        return make_error_code(error::malformed);
    return std::move(*changes);
}

} // namespace savorytrail::propagation
