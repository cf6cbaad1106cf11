// Serves the configuration and the live list. Replies are compressed because manifests and lists
// are repetitive text.
#include "core/propagation/service.h"

#include <grpcpp/grpcpp.h>

#include "core/propagation/codec.h"
#include "membership.grpc.pb.h"

namespace savorytrail::propagation {
namespace {

class service final : public schema::entry_membership::CallbackService {
public:
    service(const configuration::holder& configuration, const membership::directory& directory)
        : m_configuration(configuration), m_directory(directory) {}

    grpc::ServerUnaryReactor*
    fetch_configuration(grpc::CallbackServerContext* context,
                        const schema::fetch_configuration_request* request,
                        schema::fetch_configuration_reply* reply) override {
        const auto current = m_configuration.current();
        if (current && current->version > request->version()) {
            reply->set_version(current->version);
            reply->set_text(current->text);
            context->set_compression_algorithm(GRPC_COMPRESS_GZIP);
        }
        return finished(*context);
    }

    grpc::ServerUnaryReactor* fetch_live_list(grpc::CallbackServerContext* context,
                                              const schema::fetch_live_list_request* request,
                                              schema::fetch_live_list_reply* reply) override {
        to_message(m_directory.changes_since(request->revision()), *reply);
        context->set_compression_algorithm(GRPC_COMPRESS_GZIP);
        return finished(*context);
    }

private:
    static grpc::ServerUnaryReactor* finished(grpc::CallbackServerContext& context) {
        auto* reactor = context.DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    const configuration::holder& m_configuration;
    const membership::directory& m_directory;
};

} // namespace

std::unique_ptr<grpc::Service> make_service(const configuration::holder& configuration,
                                            const membership::directory& directory) {
    return std::make_unique<service>(configuration, directory);
}

} // namespace savorytrail::propagation
