// stand_in_platform: the platform's table, objects and live list, with fault injection.
#include <glog/logging.h>

#include <thread>

#include "CLI/CLI.hpp"
#include "stand_ins/http/program.h"
#include "stand_ins/platform/service.h"

namespace {

using namespace savorytrail;

constexpr std::size_t max_connections = 4'096;

} // namespace

int main(int argc, char** argv) {
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    std::string listen = "127.0.0.1:7000";
    int lag_ms = 0;
    CLI::App app("The platform's table, objects and live list, for tests");
    app.add_option("--listen", listen, "Address to serve HTTP on");
    app.add_option("--list-lag-ms", lag_ms,
                   "Delay until a change of the live list becomes visible (ms)");
    CLI11_PARSE(app, argc, argv);

    const common::system_clock clock;
    stand_ins::fault_server server;
    const stand_ins::platform_service service(server, clock, common::milliseconds(lag_ms));
    return stand_ins::serve_until_signal([&] {
        const auto address = common::parse_endpoint(listen);
        if (!address) {
            LOG(ERROR) << "--listen: expected an IPv4 address and a port, got " << listen;
            return false;
        }
        if (const auto ec = server.bind(*address, max_connections)) {
            LOG(ERROR) << "listening on " << listen << ": " << ec.message();
            return false;
        }
        std::thread([&server] { server.listen_after_bind(); }).detach();
        return true;
    });
}
