// A UDP socket for heartbeats. Sending never blocks: a datagram that does not fit the socket's
// buffer is lost like any other.
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
    // nullopt when none arrived within the wait. A datagram that is too long arrives cut off.
    std::optional<std::string> receive(common::milliseconds wait) const;

private:
    int m_socket = -1;
};

} // namespace savorytrail::membership
