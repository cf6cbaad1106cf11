// Non-blocking IPv4 sockets for the proxy.
#pragma once

#include "core/common/endpoint.h"
#include "core/common/error.h"

struct sockaddr_in;

namespace savorytrail::stand_ins {

sockaddr_in to_socket_address(const common::endpoint& address);

common::result<int> open_listener(const common::endpoint& address);
common::result<int> open_datagram_socket(const common::endpoint& address);
// Starts to connect. The socket becomes writable once the connection is established or has failed.
common::result<int> start_connect(const common::endpoint& address);

// Closes the socket with a TCP reset (RST).
void close_with_reset(int socket);

} // namespace savorytrail::stand_ins
