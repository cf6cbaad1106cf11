// The network between entries: datagrams, and connections that carry HTTP requests. Each direction
// between two entries has its own faults. A connection has two ends, and what one end does reaches
// the other as a message, which may be held up or lost. The client side has the time-outs, errors
// and pooled connections of reactor::http_client.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "core/reactor/http_client.h"
#include "core/reactor/http_server.h"
#include "unit_tests/cells/simulated_time.h"

namespace savorytrail::cells {

// A process of an entry, as the network sees it.
class process {
public:
    virtual ~process() = default;
    virtual int slot() const = 0; // number of its machine
    virtual bool is_alive() const = 0;
    // While it has, the machine goes on to send what its processes have written.
    virtual bool has_power() const = 0;
    // Runs the work now, or when the process is scheduled again; never once it has ended.
    virtual void deliver(std::function<void()> work) = 0;
    // Runs the work when that much time has passed on the process's clock.
    virtual void after(common::milliseconds delay, std::function<void()> work) = 0;
    virtual void on_datagram(const std::string& bytes, const common::endpoint& from) = 0;
    virtual void on_request(const reactor::http_request& request,
                            const std::shared_ptr<reactor::responder>& answer) = 0;

protected:
    process() = default;
    process(const process&) = default;
    process& operator=(const process&) = default;
};

// Faults of what one entry sends to another.
struct way_faults {
    bool cuts_datagrams = false;
    // What is written to connections is held back, and sent again once the cut has ended.
    bool cuts_streams = false;
    int lost_datagrams = 0; // in thousandths
    int held_up = 0;        // in thousandths of the messages
    common::milliseconds min_hold{200};
    common::milliseconds max_hold{3000};

    bool operator==(const way_faults&) const = default;
};

class simulated_network {
public:
    static constexpr common::milliseconds one_way_delay{1};

    simulated_network(simulated_time& time, std::mt19937_64& random)
        : m_time(time), m_random(random) {}

    static common::endpoint address_of(int slot);
    static int slot_of(const common::endpoint& address);

    // The process that now runs on its machine.
    void attach(process& it) { m_processes[it.slot()] = &it; }
    // The process has ended. Its machine closes its connections, if it has power.
    void on_ended(const process& it);

    way_faults& way(int from, int to) { return m_ways[{from, to}]; }
    void heal() { m_ways.clear(); }
    // Nothing that is sent from now on passes in this direction on connections that are open now.
    void silence(int from, int to);
    // The connections from one entry to another are lost. An end that is not told learns of it by
    // nothing but its own time-outs. Messages that are under way may still arrive.
    void reset(int client, int server, bool is_client_told, bool is_server_told);

    void send_datagram(const process& from, const common::endpoint& to, const std::string& bytes);

    using callback = reactor::http_client::callback;
    using canceller = reactor::http_client::canceller;
    canceller send_request(process& from, const common::endpoint& to, reactor::http_request request,
                           common::milliseconds timeout, callback done);

private:
    struct stream { // one direction of a connection
        bool is_silent = false;
        bool is_waiting = false; // for the end of a cut
        common::time_point last_arrival;
        std::deque<std::function<void()>> unsent;
    };
    class simulated_responder;
    struct connection {
        process* client = nullptr;
        process* server = nullptr; // null until it is connected
        int to = 0;                // slot of the server
        bool is_client_open = true;
        bool is_server_open = false;
        stream to_server;
        stream to_client;
        reactor::http_request request;
        callback done; // set while a request is outstanding
        std::uint64_t request_number = 0;
        bool is_sent = false;
        std::shared_ptr<simulated_responder> answer;
    };
    using connection_ptr = std::shared_ptr<connection>;

    common::milliseconds delay_on(const way_faults& way);
    bool is_path_open(int from, int to);
    void connect(const connection_ptr& it, int attempt);
    void write_request(const connection_ptr& it);
    void receive_request(const connection_ptr& it, const reactor::http_request& request,
                         std::uint64_t number);
    void receive_response(const connection_ptr& it, const reactor::http_response& response,
                          std::uint64_t number);
    // Sends the work to the other end, where it runs on arrival.
    void transmit(const connection_ptr& it, bool to_server, std::function<void()> work);
    void send_unsent(const connection_ptr& it, bool to_server);
    void arrive(const connection_ptr& it, bool at_server, const std::function<void()>& work);
    void close_client(const connection_ptr& it);
    void end_at_server(const connection_ptr& it);
    void end_at_client(const connection_ptr& it);
    void fail(const connection_ptr& it, common::error error);

    simulated_time& m_time;
    std::mt19937_64& m_random;
    std::map<int, process*> m_processes; // by slot
    std::map<std::pair<int, int>, way_faults> m_ways;
    std::vector<connection_ptr> m_connections;
    std::map<std::pair<const process*, int>, std::vector<connection_ptr>> m_idle;
};

} // namespace savorytrail::cells
