// Maps a request's host and path to a queue, according to one version of the configuration.
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
    common::milliseconds timeout{0}; // for callers that do not set one

    bool operator==(const route&) const = default;
};

struct configuration {
    std::uint64_t version = 0; // 0: none received yet
    std::vector<route> routes;

    bool operator==(const configuration&) const = default;
};

class route_table {
public:
    // Replaces the configuration if `newer` has a higher version; otherwise returns false.
    bool adopt(configuration newer);

    std::uint64_t version() const { return m_configuration.version; }

    // The host's route with the longest matching prefix, or nullptr. A port after the host is
    // ignored.
    const route* find(std::string_view host, std::string_view path) const;

private:
    configuration m_configuration;
};

} // namespace savorytrail::route
