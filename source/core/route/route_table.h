// Maps a request's host and path to a queue, according to one version of the configuration. Load
// pattern: configurations of more than a thousand routes, replaced in quick succession. A look-up
// takes one hash per length of prefix that the host's routes have, however many they are.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
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

// Why the configuration cannot be put in force, for the log; nullopt when it can.
std::optional<std::string> find_defect(const configuration& it);

class route_table {
public:
    // Replaces the configuration if `newer` has a higher version; otherwise returns false.
    bool adopt(configuration newer);

    std::uint64_t version() const { return m_configuration.version; }
    std::size_t size() const { return m_configuration.routes.size(); }

    // The host's route with the longest matching prefix, or nullptr. A port after the host is
    // ignored.
    const route* find(std::string_view host, std::string_view path) const;
    // The first route to the queue, or nullptr. Goes through all routes.
    const route* find_queue(std::string_view name) const;

private:
    struct host_routes {
        absl::flat_hash_map<std::string, std::size_t> by_prefix; // index of the route
        std::vector<std::size_t> prefix_lengths;                 // each once, longest first
    };

    void index_routes();

    configuration m_configuration;
    absl::flat_hash_map<std::string, host_routes> m_hosts; // by name in lower case
};

} // namespace savorytrail::route
