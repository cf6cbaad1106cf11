// HTTP API server for callers (docs/API.md).
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <system_error>
#include <thread>

#include "core/front/replies.h"
#include "core/http/caller_server.h"
#include "core/job/job_json.h"
#include "core/routing/keyed_router.h"
#include "core/routing/router.h"
#include "core/submission/issuer.h"

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace savorytrail::front {

struct api_limits {
    http::caller_server_limits server;
    job::job_limits job;
    std::size_t max_ids_per_call = 1000;
    common::milliseconds max_wait{30000};

    bool operator==(const api_limits&) const = default;
};

// Callbacks for the entry's readiness and the bodies of the status and metrics endpoints.
struct status_sources {
    std::function<bool()> is_ready;
    std::function<std::string()> status_json;
    std::function<std::string()> metrics_text;
};

class api_server {
public:
    api_server(api_limits limits, submission::issuer& ids, routing::router& router,
               routing::keyed_router& keyed, status_sources sources);
    ~api_server();
    api_server(const api_server&) = delete;
    api_server& operator=(const api_server&) = delete;

    std::error_code start(const common::endpoint& address);
    // Stops issuing ids. Submissions and queries are still served, but each connection is closed
    // after its response, so that callers reconnect to another entry.
    void stop_issuing() { m_is_issuing = false; }
    // Waits until no request is being served; false on timeout.
    bool drain(common::milliseconds timeout);
    void stop();

private:
    using route_function = std::function<reply(const httplib::Request&)>;

    void add_routes();
    std::function<void(const httplib::Request&, httplib::Response&)>
    make_handler(route_function function);
    reply issue_ids(const httplib::Request& request);
    reply submit(const httplib::Request& request);
    reply submit_with_key(const httplib::Request& request);
    reply read_story(const httplib::Request& request);
    reply query_or_cancel(const httplib::Request& request, peer::request_kind kind);
    reply route(const std::string& id_text, peer::request_kind kind, std::optional<job::job> job,
                common::milliseconds wait);

    const api_limits m_limits;
    submission::issuer& m_ids;
    routing::router& m_router;
    routing::keyed_router& m_keyed;
    const status_sources m_sources;
    std::atomic<bool> m_is_issuing{true};
    std::atomic<std::size_t> m_active_requests{0};
    http::caller_server m_server;
    std::thread m_thread;
};

} // namespace savorytrail::front
