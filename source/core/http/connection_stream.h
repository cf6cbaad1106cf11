// The stream through which cpp-httplib reads an accepted connection, with limits on the time and
// size of a request.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "httplib.h"

namespace savorytrail::http {

struct request_bounds {
    std::chrono::milliseconds header_time{5000}; // from a request's first byte to its header's end
    std::chrono::milliseconds body_time{5000};   // from the header's end to the body's end
    std::chrono::milliseconds write_time{5000};  // of one response
    std::size_t header_bytes = 16'384;           // request line and header

    bool operator==(const request_bounds&) const = default;
};

// Reads fail once a limit is exceeded. Writes are buffered until flush() or the next wait.
class connection_stream final : public httplib::Stream {
public:
    // `on_wait` is called with true before a read waits for the caller and with false after.
    connection_stream(int socket, request_bounds bounds, std::function<void(bool)> on_wait);

    bool is_readable() const override { return m_input_begin < m_input_end; }
    bool is_writable() const override { return true; }
    socket_t socket() const override { return m_socket; }
    ssize_t read(char* target, size_t size) override;
    ssize_t write(const char* data, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;

    // Waits for the first byte of a request. Returns false when the caller has closed the
    // connection or the timeout has passed.
    bool wait_for_request(std::chrono::milliseconds timeout);
    // Whether the buffered response has a "Connection: close" header.
    bool announces_close() const;
    // Sends the buffered response.
    bool flush();

private:
    using time_point = std::chrono::steady_clock::time_point;

    bool fill_input();
    bool receive();
    void count_header_byte(char c);

    const int m_socket;
    const request_bounds m_bounds;
    const std::function<void(bool)> m_on_wait;
    std::vector<char> m_input;
    std::size_t m_input_begin = 0; // first unread byte of m_input
    std::size_t m_input_end = 0;   // end of the received bytes in m_input
    std::string m_output;
    time_point m_deadline;          // for the part of the request being read
    std::size_t m_header_bytes = 0; // read so far of the current request's header
    std::size_t m_terminator_matched =
        0; // characters of the header terminator matched by the last bytes
    bool m_is_header_complete = false;
};

} // namespace savorytrail::http
