// stand_in_executor: upstream executors that run tasks in slots, with fault injection.
#include <arpa/inet.h>
#include <glog/logging.h>

#include <memory>
#include <vector>

#include "CLI/CLI.hpp"
#include "stand_ins/executor/executor.h"
#include "stand_ins/http/program.h"

namespace {

using namespace savorytrail;

// The endpoint at the IPv4 address `offset` addresses after that of `first`.
common::endpoint offset_address(const common::endpoint& first, std::uint32_t offset) {
    in_addr address{};
    inet_pton(AF_INET, first.host.c_str(), &address);
    address.s_addr = htonl(ntohl(address.s_addr) + offset);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address, text, sizeof(text));
    return {text, first.port};
}

} // namespace

int main(int argc, char** argv) {
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    std::string listen = "127.0.50.1:8000";
    std::uint32_t count = 1;
    stand_ins::executor_limits limits;
    CLI::App app("Upstream executors, for tests");
    app.add_option("--listen", listen, "Address of the first executor");
    app.add_option("--count", count, "Number of executors, on consecutive addresses");
    app.add_option("--slots", limits.slots, "Tasks that each executor runs at once");
    app.add_option("--connections", limits.connections, "Connections that each executor accepts");
    CLI11_PARSE(app, argc, argv);

    std::vector<std::unique_ptr<stand_ins::executor>> executors;
    return stand_ins::serve_until_signal([&] {
        const auto first = common::parse_endpoint(listen);
        if (!first) {
            LOG(ERROR) << "--listen: expected an IPv4 address and a port, got " << listen;
            return false;
        }
        for (std::uint32_t i = 0; i < count; i++) {
            const auto address = offset_address(*first, i);
            executors.push_back(std::make_unique<stand_ins::executor>(address, limits));
            if (const auto ec = executors.back()->start()) {
                LOG(ERROR) << "listening on " << address.to_string() << ": " << ec.message();
                return false;
            }
        }
        return true;
    });
}
