// Fault-injecting proxies between the entries of a platform_fleet, and from the entries to the
// executors and the store. Each entry has its own peer port and assumes that its peers use the same
// one; proxies listen at the resulting addresses. Each direction between two entries is therefore a
// separate link, for TCP connections and for datagrams.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "stand_ins/proxy/tcp_route.h"
#include "stand_ins/proxy/udp_route.h"

namespace savorytrail {

class platform_links {
public:
    // Third octets of the proxies' addresses for executors and for the store.
    static constexpr int executor_proxy_octet = 3;
    static constexpr int store_proxy_octet = 4;

    struct plan {
        std::string network; // "127.N"
        common::endpoint store;
        std::vector<common::endpoint> entries; // peer endpoints
        std::vector<stand_ins::route_addresses> executors;
    };

    explicit platform_links(const plan& link_plan);

    common::endpoint store_of(int entry) const;

    enum class traffic { all, connections, datagrams };

    // Affects what `from` sends to `to`, and the responses on connections that `from` opened.
    void set_link_fault(int from, int to, const stand_ins::proxy_fault& fault,
                        traffic affected = traffic::all);
    // The same for all links of the entry, in both directions.
    void set_entry_fault(int entry, const stand_ins::proxy_fault& fault);
    // Number of datagrams that `from` has sent to `to`.
    std::uint64_t datagrams(int from, int to) const;
    void set_store_fault(int entry, const stand_ins::proxy_fault& fault);
    // Affects the traffic of all entries to the executor.
    void set_executor_fault(int executor, const stand_ins::proxy_fault& fault);
    void clear_faults();

private:
    struct link {
        std::unique_ptr<stand_ins::tcp_route> connections;
        std::unique_ptr<stand_ins::udp_route> datagrams;
    };

    const std::string m_network;
    std::map<std::pair<int, int>, link> m_links; // by sending and receiving entry
    std::vector<std::unique_ptr<stand_ins::tcp_route>> m_stores;
    std::vector<std::unique_ptr<stand_ins::tcp_route>> m_executors;
};

} // namespace savorytrail
