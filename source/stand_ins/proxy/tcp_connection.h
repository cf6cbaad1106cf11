// One forwarded TCP connection: a socket to the client, one to the target, and a queue each way.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/common/clock.h"
#include "stand_ins/proxy/delay_queue.h"
#include "stand_ins/proxy/proxy_fault.h"
#include "stand_ins/proxy/route.h"

namespace savorytrail::stand_ins {

class tcp_connection {
public:
    // `target` is a socket whose connection has been started, or -1 for a connection that is
    // silent from its beginning.
    tcp_connection(int client, int target);
    ~tcp_connection();
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;

    // Follows a change of the route's fault.
    void change_fault(const proxy_fault& before, const proxy_fault& after);
    void reset();
    bool finished() const;

    void add_polls(std::vector<pollfd>& polls) const; // always two
    // Handles the two sockets' events and sends what is due. Returns what it moved.
    route_counters handle(const pollfd* polls, const proxy_fault& fault, common::time_point now);
    // When a chunk becomes due that does not wait for its socket already.
    std::optional<common::time_point> next_due() const;

private:
    enum side : int { client, target };

    // What one side has sent, on its way to the other side.
    struct stream {
        delay_queue queue;
        bool ended = false;         // the sender has closed its side, nothing more is read
        bool end_forwarded = false; // and that has been passed on
        bool blocked = false;       // the receiver's socket takes no more at present
        common::time_point end_due; // when the end may be passed on
    };

    void blackhole();
    void receive(side from, const proxy_fault& fault, common::time_point now);
    bool apply_drop_fault(side from, const proxy_fault& fault);
    void enqueue_data(side from, std::string data, const proxy_fault& fault,
                      common::time_point due);
    void end_of_stream(side from, const proxy_fault& fault, common::time_point now);
    std::uint64_t send_due(side from, common::time_point now);
    void finish_connect(const pollfd& poll);

    int m_sockets[2];
    stream m_streams[2]; // by sending side
    bool m_connecting;
    bool m_blackholed;
    bool m_response_bytes_lost = false; // bytes of the target were swallowed
    bool m_reset_when_sent = false;     // set by cut_after
    std::uint64_t m_bytes_accepted = 0; // from the client since the route's last change of fault
};

} // namespace savorytrail::stand_ins
