// The loopback addresses of one cluster: all within 127.OCTET.0.0/16.
#pragma once

#include <cstddef>
#include <string>

#include "core/common/endpoint.h"

namespace savorytrail::stand_ins {

// Reserves a second octet among all test processes of this machine, for as long as it lives.
class address_range_lock {
public:
    address_range_lock();
    ~address_range_lock();
    address_range_lock(const address_range_lock&) = delete;
    address_range_lock& operator=(const address_range_lock&) = delete;

    int octet() const { return m_octet; } // 0 when none is free

private:
    int m_octet = 0;
    int m_socket = -1;
};

// Domains, entries and executors are counted from 0, entries and executors over all domains.
class addresses {
public:
    explicit addresses(int octet) : m_octet(octet) {}

    common::endpoint platform() const;
    common::endpoint proxy_control() const;
    common::endpoint callers(std::size_t domain, std::size_t index_in_domain) const;
    common::endpoint peers(std::size_t domain, std::size_t index_in_domain) const;
    common::endpoint executor(std::size_t index) const;

    // Addresses of the proxy.
    common::endpoint peer_route(std::size_t reader, std::size_t entry) const;
    common::endpoint platform_route(std::size_t reader) const;
    common::endpoint executor_route(std::size_t index) const;

private:
    common::endpoint at(std::size_t third, std::size_t fourth, std::uint16_t port) const;

    const int m_octet;
};

} // namespace savorytrail::stand_ins
