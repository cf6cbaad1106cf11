// Handlers of the executor's HTTP calls.
#include "stand_ins/executor/executor.h"

#include <algorithm>
#include <thread>

#include "stand_ins/http/fault_server.h"
#include "stand_ins/http/json_body.h"
#include "stand_ins/http/name_table.h"

namespace savorytrail::stand_ins {
namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr std::size_t control_threads = 64; // in addition to those for connections that carry tasks

constexpr name_table<executor_mode, 6> mode_names{{
    {"normal", executor_mode::normal},
    {"fail", executor_mode::fail},
    {"slow", executor_mode::slow},
    {"silent", executor_mode::silent},
    {"refuse", executor_mode::refuse},
    {"closed", executor_mode::closed},
}};

// Whether the connection that this thread serves counts towards the connection limit.
thread_local bool s_connection_counted = false;

} // namespace

std::string_view name_of(executor_mode mode) {
    return find_name(mode_names, mode);
}

struct executor::handlers {
    static void work(executor& self, const Request& request, Response& response) {
        if (!self.admit_connection())
            return server_connection::current().abandon();
        const auto behaviour = self.behaviour();
        if (behaviour.mode == executor_mode::refuse)
            return respond_json(response, 429, {{"error", "the executor refuses tasks"}});

        self.m_starts.add(request.get_header_value("Savory-Task"));
        switch (behaviour.mode) {
        case executor_mode::fail:
            return respond_json(response, 500, {{"error", "the executor fails all tasks"}});
        case executor_mode::silent:
            return server_connection::current().wait_for_close();
        case executor_mode::closed:
            return server_connection::current().abandon();
        default:
            break;
        }

        const auto factor = behaviour.mode == executor_mode::slow ? behaviour.factor : 1;
        const auto ms = static_cast<double>(number_parameter(request, "ms", 0)) * factor;
        self.run(std::chrono::milliseconds(static_cast<long long>(ms)));
        const auto status = static_cast<int>(number_parameter(request, "status", 200));
        respond_json(response, status,
                     {{"executor", self.m_address.to_string()}, {"echo", request.body}});
    }

    static void put_mode(executor& self, const json& body, Response& response) {
        const auto mode = find_value(mode_names, body.at("mode").get<std::string>());
        if (!mode)
            return respond_json(response, 400, {{"error", "mode is unknown"}});
        const std::lock_guard lock(self.m_mutex);
        self.m_behaviour = {*mode, body.value("factor", 1.0)};
        response.status = 200;
    }

    static void get_starts(executor& self, Response& response) {
        const auto counts = self.m_starts.read();
        const std::lock_guard lock(self.m_mutex);
        respond_json(response, 200,
                     {{"total", counts.total},
                      {"tasks", counts.tasks},
                      {"most_running", self.m_slots.most_running()},
                      {"most_waiting", self.m_slots.most_waiting()},
                      {"most_connections", self.m_most_connections},
                      {"refused_connections", self.m_refused_connections}});
    }

    static void delete_starts(executor& self, Response& response) {
        self.m_starts.clear();
        self.m_slots.reset_high_water_marks();
        const std::lock_guard lock(self.m_mutex);
        self.m_most_connections = self.m_connections;
        self.m_refused_connections = 0;
        response.status = 200;
    }
};

executor::executor(common::endpoint address, executor_limits limits)
    : m_address(std::move(address)), m_limits(limits), m_slots(limits.slots),
      m_server(std::make_unique<fault_server>()) {
    m_server->Post("/work/.*", [this](const Request& request, Response& response) {
        handlers::work(*this, request, response);
    });
    m_server->Put("/control/mode",
                  with_json([this](const Request&, const json& body, Response& response) {
                      handlers::put_mode(*this, body, response);
                  }));
    m_server->Get("/control/starts", [this](const Request&, Response& response) {
        handlers::get_starts(*this, response);
    });
    m_server->Delete("/control/starts", [this](const Request&, Response& response) {
        handlers::delete_starts(*this, response);
    });
    m_server->on_connection_end = [this] { end_connection(); };
}

executor::~executor() = default;

std::error_code executor::start() {
    if (const auto ec = m_server->bind(m_address, m_limits.connections + control_threads))
        return ec;
    std::thread([this] { m_server->listen_after_bind(); }).detach();
    return {};
}

executor_behaviour executor::behaviour() const {
    const std::lock_guard lock(m_mutex);
    return m_behaviour;
}

bool executor::admit_connection() {
    if (s_connection_counted)
        return true;
    const std::lock_guard lock(m_mutex);
    if (m_connections == m_limits.connections) {
        m_refused_connections++;
        return false;
    }
    s_connection_counted = true;
    m_most_connections = std::max(m_most_connections, ++m_connections);
    return true;
}

void executor::end_connection() {
    if (!s_connection_counted)
        return;
    s_connection_counted = false;
    const std::lock_guard lock(m_mutex);
    m_connections--;
}

void executor::run(std::chrono::milliseconds service_time) {
    m_slots.acquire();
    std::this_thread::sleep_for(service_time);
    m_slots.release();
}

} // namespace savorytrail::stand_ins
