// A forwarded TCP connection: a socket to the client, one to the target, and a queue per direction.
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
    // `target_socket` is a socket on which connecting has started, or -1 for a connection that is
    // blackholed from the start.
    tcp_connection(int client_socket, int target_socket);
    ~tcp_connection();
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;

    // Applies a change of the route's fault.
    void change_fault(const proxy_fault& before, const proxy_fault& after);
    void reset();
    bool finished() const;

    void add_polls(std::vector<pollfd>& polls) const; // always adds two
    // Handles the events of both sockets and sends the data that is due. Returns the bytes sent.
    route_counters handle(const pollfd* polls, const proxy_fault& fault, common::time_point now);
    // Time at which the next chunk or end of stream is due; excludes those that wait for a socket.
    std::optional<common::time_point> next_due() const;

private:
    enum side : int { client, target };

    // Data from one side to the other.
    struct stream {
        delay_queue queue;
        bool ended = false;         // the sender has closed its side; nothing more is read
        bool end_forwarded = false; // the receiver's socket has been shut down for writing
        bool blocked = false;       // the receiver's socket is not writable
        common::time_point end_due; // time at which the end may be forwarded
    };

    void blackhole();
    void reset_client(); // the target is told nothing
    void receive(side from, const proxy_fault& fault, common::time_point now);
    bool apply_drop_fault(side from, const proxy_fault& fault);
    void enqueue_data(side from, std::string data, const proxy_fault& fault,
                      common::time_point due);
    void end_of_stream(side from, const proxy_fault& fault, common::time_point now);
    std::uint64_t send_due(side from, common::time_point now);
    void finish_connect(const pollfd& poll);

    int m_sockets[2];
    stream m_streams[2]; // indexed by the sending side
    bool m_connecting;
    bool m_blackholed;                  // all further data is discarded
    bool m_response_bytes_lost = false; // data of the target was discarded
    bool m_reset_when_sent = false;     // set by cut_after
    std::uint64_t m_bytes_accepted = 0; // from the client, since the route's fault last changed
};

} // namespace savorytrail::stand_ins
