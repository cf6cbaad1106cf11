// A non-blocking UDP socket for heartbeats. A datagram that does not fit the socket's send buffer
// is dropped, which heartbeats tolerate like any other loss.
#pragma once

#include <optional>
#include <string>
#include <system_error>

#include "core/common/clock.h"
#include "core/common/endpoint.h"

namespace savorytrail::membership {

class datagram_socket {
public:
    datagram_socket() = default;
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    std::error_code bind(const common::endpoint& address);
    void send(const common::endpoint& to, const std::string& datagram) const;
    // nullopt if no datagram arrives within the wait. Datagrams that are too long are truncated.
    std::optional<std::string> receive(common::milliseconds wait) const;

private:
    int m_socket = -1;
};

} // namespace savorytrail::membership
