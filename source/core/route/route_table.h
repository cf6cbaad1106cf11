// Which queue a request's host and path lead to, in one version of the configuration.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/work/job.h"

namespace savorytrail::route {

struct route {
    std::string host;
    std::string prefix;
    work::queue_settings queue;
    common::milliseconds timeout{0}; // for callers that do not say how long they wait

    bool operator==(const route&) const = default;
};

struct configuration {
    std::uint64_t version = 0; // 0: none has been seen
    std::vector<route> routes;

    bool operator==(const configuration&) const = default;
};

class route_table {
public:
    // Takes a configuration if it is newer than the one in force; it never goes back.
    bool adopt(configuration newer);

    std::uint64_t version() const { return m_configuration.version; }

    // The route of the host with the longest prefix of the path. A port after the host is ignored.
    const route* find(std::string_view host, std::string_view path) const;

private:
    configuration m_configuration;
};

} // namespace savorytrail::route
