// The service by which an entry takes over submissions and hears of heirs.
#pragma once

#include <memory>

#include "core/handover/heirs.h"
#include "core/handover/inheritance.h"

namespace grpc {
class Service;
}

namespace savorytrail::handover {

std::unique_ptr<grpc::Service> make_service(inheritance& inherited, heirs& registry,
                                            const submission::incarnation& self);

} // namespace savorytrail::handover
