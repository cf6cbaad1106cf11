// stand_in_proxy: forwards TCP and UDP with fault injection.
#include <glog/logging.h>

#include <thread>

#include "CLI/CLI.hpp"
#include "stand_ins/http/fault_server.h"
#include "stand_ins/http/program.h"
#include "stand_ins/proxy/service.h"

namespace {

using namespace savorytrail;

constexpr std::size_t max_control_connections = 256;

} // namespace

int main(int argc, char** argv) {
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    std::string control = "127.0.0.1:7100";
    CLI::App app("Forwards TCP and UDP with fault injection, for tests");
    app.add_option("--control", control, "Address of the control calls (HTTP)");
    CLI11_PARSE(app, argc, argv);

    stand_ins::fault_server server;
    const stand_ins::proxy_service service(server);
    return stand_ins::serve_until_signal([&] {
        const auto address = common::parse_endpoint(control);
        if (!address) {
            LOG(ERROR) << "--control: expected an IPv4 address and a port, got " << control;
            return false;
        }
        if (const auto ec = server.bind(*address, max_control_connections)) {
            LOG(ERROR) << "listening on " << control << ": " << ec.message();
            return false;
        }
        std::thread([&server] { server.listen_after_bind(); }).detach();
        return true;
    });
}
