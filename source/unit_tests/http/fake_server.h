// A loopback TCP server for tests: each accepted connection runs the next script.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/common/endpoint.h"

namespace savorytrail::http {

class fake_connection {
public:
    explicit fake_connection(int socket) : m_socket(socket) {}
    ~fake_connection();
    fake_connection(const fake_connection&) = delete;
    fake_connection& operator=(const fake_connection&) = delete;

    // Reads one request with a Content-Length body. Returns false when the client has closed.
    bool read_request();
    // Returns once the client has closed the connection.
    void wait_until_closed();
    void write(const std::string& bytes);
    void respond(const std::string& body);
    // Makes the close send a TCP reset.
    void reset_on_close();

    const std::string& last_body() const { return m_last_body; }

private:
    const int m_socket;
    std::string m_last_body;
};

class fake_server {
public:
    using script = std::function<void(fake_connection&)>;

    // Connections beyond the number of scripts run the last one.
    explicit fake_server(std::vector<script> scripts);
    ~fake_server();
    fake_server(const fake_server&) = delete;
    fake_server& operator=(const fake_server&) = delete;

    common::endpoint address() const { return m_address; }
    int accepted() const { return m_accepted; }

private:
    void serve();

    const std::vector<script> m_scripts;
    int m_listener = -1;
    common::endpoint m_address;
    std::atomic<int> m_accepted{0};
    std::mutex m_mutex;
    std::vector<std::thread> m_connections; // guarded by m_mutex
    std::thread m_acceptor;
};

} // namespace savorytrail::http
