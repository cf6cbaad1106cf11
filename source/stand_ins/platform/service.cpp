// Handlers of the platform's HTTP calls.
#include "stand_ins/platform/service.h"

#include <set>
#include <stdexcept>
#include <thread>

#include "stand_ins/http/json_body.h"

namespace savorytrail::stand_ins {
namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr std::size_t max_listed_rows = 1'000;

json to_json(const table_row& row) {
    return {{"key", row.key}, {"version", row.version}, {"value", row.value}};
}

json to_json(const std::vector<table_row>& rows) {
    auto list = json::array();
    for (const auto& it : rows)
        list.push_back(to_json(it));
    return list;
}

json to_json(const vm& it) {
    return {{"name", it.name},     {"role", it.role},       {"failure_domain", it.failure_domain},
            {"region", it.region}, {"address", it.address}, {"state", it.state}};
}

vm read_vm(const std::string& name, const json& body) {
    return {name,
            body.at("role"),
            body.at("failure_domain"),
            body.value("region", ""),
            body.value("address", ""),
            body.value("state", "live")};
}

std::vector<table_operation> read_operations(const json& body) {
    std::vector<table_operation> operations;
    for (const auto& it : body.at("operations")) {
        table_operation operation{it.at("key"), it.at("expected_version"), std::nullopt};
        if (it.contains("value"))
            operation.value = it.at("value").get<std::string>();
        operations.push_back(std::move(operation));
    }
    return operations;
}

bool keys_are_unique(const std::vector<table_operation>& operations) {
    std::set<std::string> keys;
    for (const auto& it : operations)
        keys.insert(it.key);
    return keys.size() == operations.size();
}

} // namespace

platform_service::platform_service(fault_server& server, const common::clock& clock,
                                   common::milliseconds lag)
    : m_server(server), m_list(clock, lag) {
    add_table_calls();
    add_object_calls();
    add_list_calls();
    add_control_calls();
}

httplib::Server::Handler platform_service::with_faults(httplib::Server::Handler handler) {
    return [this, handler = std::move(handler)](const Request& request, Response& response) {
        const auto fault = m_faults.take();
        if (fault.mode == platform_mode::down)
            return respond_json(response, 503, {{"error", "the platform is down"}});
        if (fault.mode == platform_mode::silent)
            return server_connection::current().wait_for_close();

        handler(request, response);
        if (fault.mode == platform_mode::slow)
            std::this_thread::sleep_for(fault.delay);
        if (fault.mode == platform_mode::lose_answers)
            server_connection::current().abandon();
    };
}

httplib::Server::Handler platform_service::as_control_call(httplib::Server::Handler handler) {
    return [handler = std::move(handler)](const Request& request, Response& response) {
        server_connection::current().exclude_from_counts();
        handler(request, response);
    };
}

void platform_service::add_table_calls() {
    m_server.Get("/v1/table/(.+)", with_faults([this](const Request& request, Response& response) {
                     get_row(request, response);
                 }));
    m_server.Get("/v1/table", with_faults([this](const Request& request, Response& response) {
                     m_reads++;
                     const auto prefix = request.get_param_value("prefix");
                     const auto rows = m_table.list(prefix, max_listed_rows);
                     respond_json(response, 200, {{"rows", to_json(rows)}});
                 }));
    const auto apply = [this](const Request&, const json& body, Response& response) {
        const auto operations = read_operations(body);
        if (!keys_are_unique(operations))
            return respond_json(response, 400, {{"error", "a key appears twice in operations"}});
        m_writes++;
        const auto outcome = m_table.apply(operations);
        if (!outcome.conflicts.empty())
            return respond_json(response, 409, {{"conflicts", to_json(outcome.conflicts)}});
        m_rows_written += operations.size();
        respond_json(response, 200, {{"versions", outcome.versions}});
    };
    m_server.Post("/v1/transactions", with_faults(with_json(apply)));
}

void platform_service::get_row(const Request& request, Response& response) {
    m_reads++;
    const auto row = m_table.read(request.matches[1]);
    if (!row)
        return respond_json(response, 404, {{"error", "no such row"}});
    if (row->version <= number_parameter(request, "newer_than", 0))
        response.status = 304;
    else
        respond_json(response, 200, to_json(*row));
}

void platform_service::add_object_calls() {
    m_server.Put("/v1/objects/(.+)",
                 with_faults([this](const Request& request, Response& response) {
                     m_writes++;
                     const std::lock_guard lock(m_objects_mutex);
                     m_objects[request.matches[1]] = request.body;
                     response.status = 200;
                 }));
    m_server.Get("/v1/objects/(.+)",
                 with_faults([this](const Request& request, Response& response) {
                     m_reads++;
                     const std::lock_guard lock(m_objects_mutex);
                     const auto it = m_objects.find(request.matches[1]);
                     if (it == m_objects.end())
                         return respond_json(response, 404, {{"error", "no such object"}});
                     response.set_content(it->second, "application/octet-stream");
                 }));
}

void platform_service::add_list_calls() {
    m_server.Get("/v1/vms", with_faults([this](const Request& request, Response& response) {
                     get_list(request, response);
                 }));
}

void platform_service::get_list(const Request& request, Response& response) {
    m_reads++;
    const auto newer_than = static_cast<std::uint64_t>(number_parameter(request, "newer_than", 0));
    const auto list = m_list.read(newer_than, request.get_param_value("reader"));
    if (!list) {
        response.status = 304;
        return;
    }
    auto vms = json::array();
    for (const auto& it : list->vms)
        vms.push_back(to_json(it));
    respond_json(response, 200,
                 {{"revision", list->revision}, {"complete", list->complete}, {"vms", vms}});
}

void platform_service::add_control_calls() {
    const auto put_vm = [this](const Request& request, const json& body, Response& response) {
        m_list.put(read_vm(request.matches[1], body));
        response.status = 200;
    };
    m_server.Put("/control/vms/(.+)", as_control_call(with_json(put_vm)));

    const auto put_address_override = [this](const Request&, const json& body, Response& response) {
        m_list.override_address(body.at("reader"), body.at("vm"), body.at("address"));
        response.status = 200;
    };
    m_server.Put("/control/routes", as_control_call(with_json(put_address_override)));

    const auto put_fault = [this](const Request&, const json& body, Response& response) {
        const auto mode = parse_platform_mode(body.at("mode").get<std::string>());
        if (!mode)
            return respond_json(response, 400, {{"error", "mode is unknown"}});
        const std::chrono::milliseconds delay(body.value("delay_ms", 0));
        m_faults.set({*mode, delay, body.value("times", std::uint64_t{0})});
        response.status = 200;
    };
    m_server.Put("/control/faults", as_control_call(with_json(put_fault)));

    m_server.Get("/control/counters", as_control_call([this](const Request&, Response& response) {
                     const auto bytes = m_server.bytes();
                     respond_json(response, 200,
                                  {{"reads", m_reads.load()},
                                   {"writes", m_writes.load()},
                                   {"rows_written", m_rows_written.load()},
                                   {"bytes_in", bytes.in},
                                   {"bytes_out", bytes.out}});
                 }));
}

} // namespace savorytrail::stand_ins
