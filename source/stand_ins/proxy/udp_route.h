// Proxy route that forwards UDP datagrams in one direction. Faults that apply to connections only
// (drop_old, cut_unnoticed, half_open, cut_after) do not affect it.
#pragma once

#include "stand_ins/proxy/delay_queue.h"
#include "stand_ins/proxy/route.h"

namespace savorytrail::stand_ins {

class udp_route final : public route {
public:
    explicit udp_route(route_addresses addresses) : route(std::move(addresses)) {}
    // Sends the datagrams from `source_host`, so that they appear to come from that host.
    udp_route(route_addresses addresses, std::string source_host)
        : route(std::move(addresses)), m_source_host(std::move(source_host)) {}
    ~udp_route() override;

private:
    std::error_code open() override;
    std::error_code apply(const proxy_fault& fault) override;
    void add_polls(std::vector<pollfd>& polls) override;
    void handle(const std::vector<pollfd>& polls, common::time_point now) override;
    std::optional<common::time_point> next_due() const override { return m_queue.next_due(); }
    void receive_pending(common::time_point now);
    void send_due(common::time_point now);

    const std::string m_source_host; // if empty, datagrams are sent from the listening address
    int m_socket = -1;
    int m_sender = -1; // m_socket, or a socket bound to m_source_host
    proxy_fault m_fault;
    delay_queue m_queue; // one datagram per chunk
};

} // namespace savorytrail::stand_ins
