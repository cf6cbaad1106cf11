// HTTP API of the platform: table, objects, live list and control calls. Control calls are exempt
// from faults and from the byte counts.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "core/common/clock.h"
#include "stand_ins/http/fault_server.h"
#include "stand_ins/platform/fault_switch.h"
#include "stand_ins/platform/live_list.h"
#include "stand_ins/platform/table.h"

namespace savorytrail::stand_ins {

class platform_service {
public:
    platform_service(fault_server& server, const common::clock& clock, common::milliseconds lag);

private:
    httplib::Server::Handler with_faults(httplib::Server::Handler handler);
    httplib::Server::Handler as_control_call(httplib::Server::Handler handler);
    void add_table_calls();
    void add_object_calls();
    void add_list_calls();
    void add_control_calls();
    void get_row(const httplib::Request& request, httplib::Response& response);
    void get_list(const httplib::Request& request, httplib::Response& response);

    fault_server& m_server;
    table m_table;
    live_list m_list;
    fault_switch m_faults;
    std::mutex m_objects_mutex;
    std::map<std::string, std::string> m_objects; // guarded by m_objects_mutex
    std::atomic<std::uint64_t> m_reads{0};
    std::atomic<std::uint64_t> m_writes{0};
    std::atomic<std::uint64_t> m_rows_written{0};
};

} // namespace savorytrail::stand_ins
