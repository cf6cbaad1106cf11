// The connection pool. Each pooled connection is one cpp-httplib client with keep-alive.
#include "core/http/client.h"

#include "httplib.h"

namespace savorytrail::http {
namespace {

using common::error;

error to_error(httplib::Error code) {
    switch (code) {
    case httplib::Error::Connection:
    case httplib::Error::BindIPAddress:
    case httplib::Error::ConnectionTimeout:
        return error::unreachable;
    case httplib::Error::Read:
        return error::timed_out;
    default:
        return error::connection_lost;
    }
}

httplib::Request to_library(const request& message) {
    static constexpr const char* s_verbs[] = {"GET", "POST", "PUT", "DELETE"};
    httplib::Request it;
    it.method = s_verbs[static_cast<int>(message.verb)];
    it.path = message.path;
    it.body = message.body;
    for (const auto& [name, value] : message.headers)
        it.set_header(name, value);
    if (!message.body.empty())
        it.set_header("Content-Type", message.content_type);
    return it;
}

} // namespace

struct client::connection {
    connection(const common::endpoint& server, std::uint64_t generation_)
        : client(server.host, server.port), generation(generation_) {}

    httplib::Client client;
    std::uint64_t generation;
};

client::client(common::endpoint server, client_timeouts timeouts)
    : m_server(std::move(server)), m_timeouts(timeouts) {}

client::~client() = default;

common::result<response> client::send(const request& message) {
    return send(message, m_timeouts.answer);
}

common::result<response> client::send(const request& message,
                                      std::chrono::milliseconds answer_timeout) {
    auto it = take();
    it->client.set_read_timeout(answer_timeout);
    const auto answer = it->client.send(to_library(message));
    if (!answer)
        return make_error_code(to_error(answer.error()));

    response reply{answer->status, answer->body};
    give_back(std::move(it));
    return reply;
}

void client::drop_connections() {
    const std::lock_guard lock(m_mutex);
    m_generation++;
    m_idle.clear();
}

std::unique_ptr<client::connection> client::take() {
    {
        const std::lock_guard lock(m_mutex);
        if (!m_idle.empty()) {
            auto it = std::move(m_idle.back());
            m_idle.pop_back();
            return it;
        }
    }
    auto it = std::make_unique<connection>(m_server, m_generation.load());
    it->client.set_keep_alive(true);
    it->client.set_tcp_nodelay(true);
    it->client.set_connection_timeout(m_timeouts.connect);
    it->client.set_write_timeout(m_timeouts.connect);
    return it;
}

void client::give_back(std::unique_ptr<connection> it) {
    const std::lock_guard lock(m_mutex);
    if (it->generation == m_generation.load())
        m_idle.push_back(std::move(it));
}

} // namespace savorytrail::http
