// Handlers of the proxy's control calls.
#include "stand_ins/proxy/service.h"

#include "stand_ins/proxy/tcp_route.h"
#include "stand_ins/proxy/udp_route.h"

namespace savorytrail::stand_ins {
namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

std::unique_ptr<route> make_route(const std::string& protocol, const route_addresses& addresses) {
    if (protocol == "udp")
        return std::make_unique<udp_route>(addresses);
    return std::make_unique<tcp_route>(addresses);
}

void respond_error(Response& response, int status, const std::string& text) {
    respond_json(response, status, {{"error", text}});
}

} // namespace

proxy_service::proxy_service(httplib::Server& server) {
    server.Put("/control/routes/([^/]+)",
               with_json([this](const Request& request, const json& body, Response& response) {
                   put_route(request.matches[1], body, response);
               }));
    server.Put("/control/routes/([^/]+)/fault",
               with_json([this](const Request& request, const json& body, Response& response) {
                   put_fault(request.matches[1], body, response);
               }));
    server.Get("/control/routes/([^/]+)", [this](const Request& request, Response& response) {
        get_route(request.matches[1], response);
    });
}

void proxy_service::put_route(const std::string& name, const json& body, Response& response) {
    const auto listen = common::parse_endpoint(body.at("listen").get<std::string>());
    const auto target = common::parse_endpoint(body.at("target").get<std::string>());
    const auto protocol = body.value("protocol", std::string("tcp"));
    if (!listen || !target)
        return respond_error(response, 400, "listen and target must be IPv4 addresses with ports");
    if (protocol != "tcp" && protocol != "udp")
        return respond_error(response, 400, "protocol must be tcp or udp");

    const route_addresses addresses{*listen, *target};
    const std::lock_guard lock(m_mutex);
    response.status = 200;
    if (const auto it = m_routes.find(name); it != m_routes.end()) {
        const auto& [old_protocol, old_route] = it->second;
        if (old_protocol != protocol || old_route->addresses() != addresses)
            respond_error(response, 409,
                          "the route exists with another protocol or other addresses");
        return;
    }
    auto forwarding = make_route(protocol, addresses);
    if (const auto ec = forwarding->start())
        return respond_error(response, 500,
                             "listening on " + listen->to_string() + ": " + ec.message());
    m_routes[name] = {protocol, std::move(forwarding)};
}

void proxy_service::put_fault(const std::string& name, const json& body, Response& response) {
    auto* const it = find(name);
    if (it == nullptr)
        return respond_error(response, 404, "no such route");
    const auto mode = parse_proxy_mode(body.at("mode").get<std::string>());
    if (!mode)
        return respond_error(response, 400, "mode is unknown");
    const std::chrono::milliseconds delay(body.value("delay_ms", 0));
    if (const auto ec = it->set_fault({*mode, delay, body.value("after_bytes", std::uint64_t{0})}))
        return respond_error(response, 500, ec.message());
    response.status = 200;
}

void proxy_service::get_route(const std::string& name, Response& response) {
    const auto* const it = find(name);
    if (it == nullptr)
        return respond_error(response, 404, "no such route");
    const auto counters = it->counters();
    respond_json(response, 200,
                 {{"connections", counters.connections},
                  {"bytes_to_target", counters.bytes_to_target},
                  {"bytes_from_target", counters.bytes_from_target},
                  {"datagrams", counters.datagrams}});
}

route* proxy_service::find(const std::string& name) {
    const std::lock_guard lock(m_mutex);
    const auto it = m_routes.find(name);
    return it == m_routes.end() ? nullptr : it->second.forwarding.get();
}

} // namespace savorytrail::stand_ins
