// Loopback addresses of a cluster, all within 127.OCTET.0.0/16.
#pragma once

#include <cstddef>
#include <string>

#include "core/common/endpoint.h"

namespace savorytrail::stand_ins {

// Reserves an address range 127.OCTET.0.0/16 among all test processes of this machine, for the
// lifetime of the object.
class address_range_lock {
public:
    address_range_lock();
    ~address_range_lock();
    address_range_lock(const address_range_lock&) = delete;
    address_range_lock& operator=(const address_range_lock&) = delete;

    int octet() const { return m_octet; } // 0 if no range was free

private:
    int m_octet = 0;
    int m_socket = -1;
};

// Indexes start at 0. `domain` is a failure domain; executors, and entries given as `reader` or
// `entry`, are numbered across all failure domains.
class addresses {
public:
    explicit addresses(int octet) : m_octet(octet) {}

    common::endpoint platform() const;
    common::endpoint proxy_control() const;
    common::endpoint callers(std::size_t domain, std::size_t index_in_domain) const;
    common::endpoint peers(std::size_t domain, std::size_t index_in_domain) const;
    common::endpoint executor(std::size_t index) const;

    // Addresses that the proxy listens on. `reader` is the entry that connects to them.
    common::endpoint peer_route(std::size_t reader, std::size_t entry) const;
    common::endpoint platform_route(std::size_t reader) const;
    common::endpoint executor_route(std::size_t index) const;

private:
    common::endpoint at(std::size_t third, std::size_t fourth, std::uint16_t port) const;

    const int m_octet;
};

} // namespace savorytrail::stand_ins
