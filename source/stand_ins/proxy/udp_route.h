// A route that forwards UDP datagrams one way. Faults that only make sense for connections
// (drop_old, half_open, cut_after) let datagrams pass.
#pragma once

#include "stand_ins/proxy/delay_queue.h"
#include "stand_ins/proxy/route.h"

namespace savorytrail::stand_ins {

class udp_route final : public route {
public:
    explicit udp_route(route_addresses addresses) : route(std::move(addresses)) {}
    ~udp_route() override;

private:
    std::error_code open() override;
    std::error_code apply(const proxy_fault& fault) override;
    void add_polls(std::vector<pollfd>& polls) override;
    void handle(const std::vector<pollfd>& polls, common::time_point now) override;
    std::optional<common::time_point> next_due() const override { return m_queue.next_due(); }
    void receive_waiting(common::time_point now);
    void send_due(common::time_point now);

    int m_socket = -1;
    proxy_fault m_fault;
    delay_queue m_queue; // a piece is one datagram
};

} // namespace savorytrail::stand_ins
