// A pool of kept HTTP connections to one server, with outcomes that tell whether a failed request
// can have reached it. The distinction decides whether a task may be tried elsewhere.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "core/common/endpoint.h"
#include "core/common/error.h"

namespace httplib {
class Client;
}

namespace savorytrail::http {

enum class method { get, post, put, del };

struct request {
    method verb = method::get;
    std::string path;
    std::string body;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;

    bool operator==(const request&) const = default;
};

struct response {
    int status = 0;
    std::string body;

    bool operator==(const response&) const = default;
};

struct client_timeouts {
    std::chrono::milliseconds connect{500};
    std::chrono::milliseconds answer{10000};

    bool operator==(const client_timeouts&) const = default;
};

class client {
public:
    client(common::endpoint server, client_timeouts timeouts);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // Sends one request and waits for its answer. common::error::unreachable means that no byte of
    // it was sent; timed_out and connection_lost mean that it may have arrived.
    common::result<response> send(const request& message);
    common::result<response> send(const request& message, std::chrono::milliseconds answer_timeout);

    // Closes idle connections and marks those in use, so that none of them is used again.
    void drop_connections();

private:
    struct connection;
    std::unique_ptr<connection> take();
    void give_back(std::unique_ptr<connection> it);

    const common::endpoint m_server;
    const client_timeouts m_timeouts;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<connection>> m_idle; // guarded by m_mutex
    std::atomic<std::uint64_t> m_generation{0};      // grows with every drop_connections()
};

} // namespace savorytrail::http
