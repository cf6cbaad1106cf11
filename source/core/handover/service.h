// gRPC service that receives handed-over submissions and announcements of successors.
#pragma once

#include <memory>

#include "core/handover/inherited_submissions.h"
#include "core/handover/successor_registry.h"

namespace grpc {
class Service;
}

namespace savorytrail::handover {

std::unique_ptr<grpc::Service> make_service(inherited_submissions& inherited,
                                            successor_registry& registry,
                                            const submission::incarnation& self);

} // namespace savorytrail::handover
