// HTTP/1.1 requests and responses as plain values.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace savorytrail::reactor {

struct header {
    std::string name;
    std::string value;

    bool operator==(const header&) const = default;
};

struct http_request {
    std::string method = "GET";
    std::string target;
    std::vector<header> headers; // of a request to send: without those that the client sets itself
    std::string body;

    bool operator==(const http_request&) const = default;
};

struct http_response {
    int status = 200;
    std::vector<header> headers;
    std::string body;
    std::string content_type = "application/json";
    std::uint64_t connection = 0; // of a response received: identifies its connection at the client

    bool operator==(const http_response&) const = default;
};

// The value of the first header of that name, compared without case; empty when there is none.
std::string find_header(const std::vector<header>& headers, const std::string& name);

} // namespace savorytrail::reactor
