#include "unit_tests/cells/simulated_network.h"

#include <algorithm>

namespace savorytrail::cells {
namespace {

using common::milliseconds;

constexpr std::uint16_t port = 7000;
constexpr milliseconds retransmission_interval{100};
constexpr milliseconds first_connect_retry{1000}; // doubles with each

} // namespace

// The server's end of one request.
class simulated_network::simulated_responder final : public reactor::responder {
public:
    simulated_responder(simulated_network& network, const connection_ptr& it, std::uint64_t number)
        : m_network(network), m_connection(it), m_number(number) {}

    void send(reactor::http_response response) override {
        const auto it = m_connection.lock();
        if (m_is_over || !it) {
            return;
        }
        m_is_over = true;
        m_network.transmit(it, false, [this_network = &m_network, it, response, number = m_number] {
            this_network->receive_response(it, response, number);
        });
    }

    void on_disconnect(std::function<void()> callback) override {
        m_on_disconnect = std::move(callback);
    }

    void note_disconnect() {
        if (std::exchange(m_is_over, true)) {
            return;
        }
        if (const auto callback = std::exchange(m_on_disconnect, nullptr)) {
            callback();
        }
    }

private:
    simulated_network& m_network;
    const std::weak_ptr<connection> m_connection;
    const std::uint64_t m_number;
    bool m_is_over = false;
    std::function<void()> m_on_disconnect;
};

common::endpoint simulated_network::address_of(int slot) {
    return {"10.0.0." + std::to_string(slot + 1), port};
}

int simulated_network::slot_of(const common::endpoint& address) {
    return std::stoi(address.host.substr(address.host.rfind('.') + 1)) - 1;
}

milliseconds simulated_network::delay_on(const way_faults& way) {
    if (way.held_up == 0 || static_cast<int>(m_random() % 1000) >= way.held_up) {
        return one_way_delay;
    }
    const auto range = static_cast<std::uint64_t>((way.max_hold - way.min_hold).count() + 1);
    return way.min_hold + milliseconds(static_cast<std::int64_t>(m_random() % range));
}

void simulated_network::send_datagram(const process& from, const common::endpoint& to,
                                      const std::string& bytes) {
    const auto& faults = way(from.slot(), slot_of(to));
    const bool is_lost =
        faults.lost_datagrams > 0 && static_cast<int>(m_random() % 1000) < faults.lost_datagrams;
    if (faults.cuts_datagrams || is_lost) {
        return;
    }
    m_time.after(delay_on(faults), [this, slot = from.slot(), to, bytes] {
        auto* receiver = m_processes.at(slot_of(to));
        receiver->deliver([=] { receiver->on_datagram(bytes, address_of(slot)); });
    });
}

bool simulated_network::is_path_open(int from, int to) {
    return !way(from, to).cuts_streams && !way(to, from).cuts_streams;
}

simulated_network::canceller simulated_network::send_request(process& from,
                                                             const common::endpoint& to,
                                                             reactor::http_request request,
                                                             milliseconds timeout, callback done) {
    auto& idle = m_idle[{&from, slot_of(to)}];
    connection_ptr it;
    if (!idle.empty()) {
        it = std::move(idle.back());
        idle.pop_back();
    } else {
        std::erase_if(m_connections,
                      [](const auto& c) { return !c->is_client_open && !c->is_server_open; });
        it = m_connections.emplace_back(std::make_shared<connection>());
        it->client = &from;
        it->to = slot_of(to);
    }
    it->request = std::move(request);
    it->done = std::move(done);
    it->is_sent = false;
    const auto number = ++it->request_number;
    from.after(timeout, [this, it, number] {
        if (it->done && it->request_number == number) {
            fail(it, it->is_sent ? common::error::timed_out : common::error::unreachable);
        }
    });
    if (it->server != nullptr) {
        write_request(it);
    } else {
        connect(it, 0);
    }
    return [this, it, number] {
        if (it->done && it->request_number == number) {
            it->done = nullptr;
            close_client(it);
        }
    };
}

void simulated_network::connect(const connection_ptr& it, int attempt) {
    if (!it->done) {
        return;
    }
    auto* server = m_processes.at(it->to);
    if (!is_path_open(it->client->slot(), it->to) || !server->has_power()) {
        m_time.after(first_connect_retry * (1 << attempt),
                     [this, it, attempt] { connect(it, attempt + 1); });
        return;
    }
    const bool is_accepted = server->is_alive();
    m_time.after(2 * one_way_delay, [=, this] {
        it->client->deliver([=, this] {
            if (!it->done) {
                return;
            }
            if (!is_accepted) {
                fail(it, common::error::unreachable);
                return;
            }
            it->server = server;
            it->is_server_open = true;
            write_request(it);
        });
    });
}

void simulated_network::write_request(const connection_ptr& it) {
    it->is_sent = true;
    transmit(it, true, [this, it, request = it->request, number = it->request_number] {
        receive_request(it, request, number);
    });
}

void simulated_network::receive_request(const connection_ptr& it,
                                        const reactor::http_request& request,
                                        std::uint64_t number) {
    if (it->is_server_open) {
        it->answer = std::make_shared<simulated_responder>(*this, it, number);
        it->server->on_request(request, it->answer);
    }
}

void simulated_network::receive_response(const connection_ptr& it,
                                         const reactor::http_response& response,
                                         std::uint64_t number) {
    if (!it->done || it->request_number != number) {
        return;
    }
    const auto done = std::exchange(it->done, nullptr);
    m_idle[{it->client, it->to}].push_back(it);
    done(response);
}

void simulated_network::transmit(const connection_ptr& it, bool to_server,
                                 std::function<void()> work) {
    auto& out = to_server ? it->to_server : it->to_client;
    out.unsent.push_back(std::move(work));
    if (!out.is_waiting) {
        send_unsent(it, to_server);
    }
}

void simulated_network::send_unsent(const connection_ptr& it, bool to_server) {
    auto& out = to_server ? it->to_server : it->to_client;
    const auto* sender = to_server ? it->client : it->server;
    const auto* receiver = to_server ? it->server : it->client;
    if (receiver == nullptr || out.is_silent || !sender->has_power()) {
        out.unsent.clear();
    }
    out.is_waiting = false;
    while (!out.unsent.empty()) {
        const auto& faults = way(sender->slot(), receiver->slot());
        if (faults.cuts_streams) {
            out.is_waiting = true;
            m_time.after(retransmission_interval,
                         [this, it, to_server] { send_unsent(it, to_server); });
            return;
        }
        // What was written first arrives first.
        out.last_arrival = std::max(out.last_arrival, m_time.now() + delay_on(faults));
        m_time.after(out.last_arrival - m_time.now(),
                     [this, it, to_server, work = std::move(out.unsent.front())] {
                         arrive(it, to_server, work);
                     });
        out.unsent.pop_front();
    }
}

void simulated_network::arrive(const connection_ptr& it, bool at_server,
                               const std::function<void()>& work) {
    auto* receiver = at_server ? it->server : it->client;
    if (receiver->is_alive()) {
        receiver->deliver(work);
        return;
    }
    auto* sender = at_server ? it->client : it->server;
    if (!receiver->has_power() || way(receiver->slot(), sender->slot()).cuts_streams) {
        return;
    }
    m_time.after(one_way_delay, [=, this] { // a reset
        sender->deliver([=, this] {
            if (at_server) {
                end_at_client(it);
            } else {
                end_at_server(it);
            }
        });
    });
}

void simulated_network::close_client(const connection_ptr& it) {
    if (!std::exchange(it->is_client_open, false)) {
        return;
    }
    std::erase(m_idle[{it->client, it->to}], it);
    transmit(it, true, [this, it] { end_at_server(it); });
}

void simulated_network::end_at_server(const connection_ptr& it) {
    it->is_server_open = false;
    if (it->answer) {
        it->answer->note_disconnect();
    }
}

void simulated_network::end_at_client(const connection_ptr& it) {
    it->is_client_open = false;
    std::erase(m_idle[{it->client, it->to}], it);
    if (it->done) {
        fail(it, common::error::connection_lost);
    }
}

void simulated_network::fail(const connection_ptr& it, common::error error) {
    close_client(it);
    if (const auto done = std::exchange(it->done, nullptr)) {
        done(make_error_code(error));
    }
}

void simulated_network::on_ended(const process& ended) {
    const auto connections = m_connections;
    for (const auto& it : connections) {
        if (it->client == &ended) {
            it->done = nullptr;
            close_client(it);
        }
        if (it->server == &ended && std::exchange(it->is_server_open, false)) {
            transmit(it, false, [this, it] { end_at_client(it); });
        }
    }
}

void simulated_network::silence(int from, int to) {
    for (const auto& it : m_connections) {
        if (it->client->slot() == from && it->to == to) {
            it->to_server.is_silent = true;
        }
        if (it->client->slot() == to && it->to == from) {
            it->to_client.is_silent = true;
        }
    }
}

void simulated_network::reset(int client, int server, bool is_client_told, bool is_server_told) {
    const auto connections = m_connections;
    for (const auto& it : connections) {
        if (it->client->slot() != client || it->to != server || it->server == nullptr) {
            continue;
        }
        it->to_server.is_silent = true;
        it->to_client.is_silent = true;
        if (is_client_told) {
            it->client->deliver([this, it] { end_at_client(it); });
        }
        if (is_server_told) {
            it->server->deliver([this, it] { end_at_server(it); });
        }
    }
}

} // namespace savorytrail::cells
