// gRPC server of a successor.
#include "core/handover/service.h"

#include <grpcpp/grpcpp.h>

#include "core/handover/codec.h"
#include "handover.grpc.pb.h"

namespace savorytrail::handover {
namespace {

class service final : public schema::entry_handover::Service {
public:
    service(inherited_submissions& inherited, successor_registry& registry,
            const submission::incarnation& self)
        : m_inherited(inherited), m_successors(registry), m_self(self) {}

    grpc::Status hand_over(grpc::ServerContext*, grpc::ServerReader<schema::handover_part>* parts,
                           schema::handover_reply* reply) override {
        std::vector<home_snapshot> snapshots;
        schema::handover_part part;
        bool is_complete = false;
        while (parts->Read(&part)) {
            if (!add_part(part, snapshots))
                return {grpc::StatusCode::INVALID_ARGUMENT, "malformed part"};
            is_complete = part.last();
        }
        // Read() also returns false when the stream was aborted.
        if (!is_complete)
            return {grpc::StatusCode::CANCELLED, "the stream broke off"};
        reply->set_accepted(!snapshots.empty() && m_inherited.accept(snapshots));
        to_message(m_self, *reply->mutable_heir());
        return grpc::Status::OK;
    }

    grpc::Status announce(grpc::ServerContext*, const schema::heir_notices* message,
                          schema::heir_notices_reply*) override {
        m_successors.announce(from_message(*message));
        return grpc::Status::OK;
    }

private:
    inherited_submissions& m_inherited;
    successor_registry& m_successors;
    const submission::incarnation m_self;
};

} // namespace

std::unique_ptr<grpc::Service> make_service(inherited_submissions& inherited,
                                            successor_registry& registry,
                                            const submission::incarnation& self) {
    return std::make_unique<service>(inherited, registry, self);
}

} // namespace savorytrail::handover
