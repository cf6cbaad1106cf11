// Service from which other entries fetch the configuration and the live list.
#pragma once

#include <memory>

#include "core/configuration/holder.h"
#include "core/membership/directory.h"

namespace grpc {
class Service;
}

namespace savorytrail::propagation {

std::unique_ptr<grpc::Service> make_service(const configuration::holder& configuration,
                                            const membership::directory& directory);

} // namespace savorytrail::propagation
