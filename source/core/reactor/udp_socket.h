// A UDP socket on the event loop. Lost datagrams are not reported, and neither are failed sends.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/reactor/loop.h"

namespace savorytrail::reactor {

class udp_socket {
public:
    using handler = std::function<void(const std::string& bytes, const common::endpoint& sender)>;

    udp_socket(loop& event_loop, handler on_datagram);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    common::result<void> open(const common::endpoint& address);
    void send(const common::endpoint& to, const std::string& bytes);

    struct state;

private:
    const std::shared_ptr<state> m_state;
};

} // namespace savorytrail::reactor
