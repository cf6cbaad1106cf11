// HTTP control API of the proxy: adds routes, sets their faults and reads their counters.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "stand_ins/http/json_body.h"
#include "stand_ins/proxy/route.h"

namespace savorytrail::stand_ins {

class proxy_service {
public:
    explicit proxy_service(httplib::Server& server);

private:
    struct named_route {
        std::string protocol;
        std::unique_ptr<route> forwarding;
    };
    void put_route(const std::string& name, const nlohmann::json& body,
                   httplib::Response& response);
    void put_fault(const std::string& name, const nlohmann::json& body,
                   httplib::Response& response);
    void get_route(const std::string& name, httplib::Response& response);
    route* find(const std::string& name);

    std::mutex m_mutex;
    // Guarded by m_mutex. Routes are never erased, so the results of find() stay valid.
    std::map<std::string, named_route> m_routes;
};

} // namespace savorytrail::stand_ins
