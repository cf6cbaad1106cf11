// Proxy route that forwards TCP connections.
#pragma once

#include <memory>
#include <vector>

#include "stand_ins/proxy/route.h"

namespace savorytrail::stand_ins {

class tcp_connection;

class tcp_route final : public route {
public:
    explicit tcp_route(route_addresses addresses);
    ~tcp_route() override;

private:
    std::error_code open() override;
    std::error_code apply(const proxy_fault& fault) override;
    void add_polls(std::vector<pollfd>& polls) override;
    void handle(const std::vector<pollfd>& polls, common::time_point now) override;
    std::optional<common::time_point> next_due() const override;
    std::uint64_t accept_pending();
    void close_listener();

    int m_listener = -1; // -1 while the fault is `cut`
    proxy_fault m_fault;
    std::vector<std::unique_ptr<tcp_connection>> m_connections;
};

} // namespace savorytrail::stand_ins
