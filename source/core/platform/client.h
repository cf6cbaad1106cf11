// HTTP client of the platform's services.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/http/client.h"
#include "core/platform/platform.h"

namespace savorytrail::platform {

struct client_options {
    common::endpoint server;
    common::milliseconds call_timeout{1500};
    std::string reader; // name of this VM; the live list returns addresses as reachable from it

    bool operator==(const client_options&) const = default;
};

// Thread-safe; each concurrent call uses a connection of its own.
class client final : public table, public live_list, public object_store {
public:
    // `count_call` is invoked once per HTTP request, for metrics.
    explicit client(
        client_options options, std::function<void()> count_call = [] {});

    common::result<std::optional<row>> read_newer(const std::string& key,
                                                  std::uint64_t version) override;
    common::result<std::vector<row>> list(const std::string& prefix) override;
    common::result<commit_outcome> commit(const std::vector<operation>& operations) override;

    common::result<vm_changes> read_newer(std::uint64_t revision) override;

    common::result<void> put(const std::string& name, const std::string& content) override;
    common::result<std::string> get(const std::string& name) override;

private:
    common::result<http::response> send(const http::request& message);

    const std::string m_reader;
    const std::function<void()> m_count_call;
    http::client m_http;
};

} // namespace savorytrail::platform
