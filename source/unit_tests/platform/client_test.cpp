// The client against a scripted HTTP server: the requests sent and the result for each response.
#include "core/platform/client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <thread>

#include "httplib.h"

namespace savorytrail::platform {
namespace {

using common::error;

constexpr const char* host = "127.43.0.1";
constexpr common::milliseconds call_timeout{300};

// Sends the same response to every request and records the last request.
class scripted_server {
public:
    scripted_server(int status, std::string body) : m_status(status), m_body(std::move(body)) {
        const auto answer = [this](const httplib::Request& request, httplib::Response& response) {
            m_last = request.method + " " + request.target + " " + request.body;
            response.status = m_status;
            response.set_content(m_body, "application/json");
        };
        m_server.Get(".*", answer);
        m_server.Put(".*", answer);
        m_server.Post(".*", answer);
        m_port = m_server.bind_to_any_port(host);
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        while (!m_server.is_running())
            std::this_thread::yield();
    }

    ~scripted_server() {
        m_server.stop();
        m_thread.join();
    }

    client_options options() const {
        return {{host, static_cast<std::uint16_t>(m_port)}, call_timeout, "entry-1"};
    }
    std::string last() const { return m_last; }

private:
    const int m_status;
    const std::string m_body;
    std::string m_last; // written before the response is sent, which the test waits for
    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
};

// Result of any of the calls, in one comparable type.
struct outcome {
    std::error_code error;
    std::variant<std::monostate, std::optional<row>, std::vector<row>, commit_outcome, vm_changes,
                 std::string>
        value;

    bool operator==(const outcome&) const = default;
};

template <class T>
outcome to_outcome(common::result<T> result) {
    if (!result)
        return {result.error(), {}};
    return {{}, std::move(result).value()};
}

using call = std::function<outcome(client&)>;

outcome read_row_newer_than_4(client& it) {
    return to_outcome(it.read_newer("configuration/a b", 4));
}

outcome list(client& it) {
    return to_outcome(it.list("c/"));
}

outcome commit(client& it) {
    return to_outcome(it.commit({{"a", 4, "x"}, {"b", any_version, std::nullopt}}));
}

outcome read_vms(client& it) {
    return to_outcome(it.read_newer(7));
}

outcome get_object(client& it) {
    return to_outcome(it.get("o"));
}

outcome put_object(client& it) {
    const auto result = it.put("o", "bytes");
    return {result ? std::error_code() : result.error(), {}};
}

outcome failed(error code) {
    return {make_error_code(code), {}};
}

struct client_case {
    const char* name;
    call make_call;
    std::string request;
    int status;
    std::string body;
    outcome expected;
};

std::ostream& operator<<(std::ostream& out, const client_case& it) {
    return out << it.name;
}

class client_calls : public testing::TestWithParam<client_case> {};

TEST_P(client_calls, send_the_request_and_read_the_answer) {
    const client_case& it = GetParam();
    const scripted_server server(it.status, it.body);
    client platform(server.options());
    EXPECT_EQ(it.make_call(platform), it.expected);
    EXPECT_EQ(server.last(), it.request);
}

const std::string read_request = "GET /v1/table/configuration/a%20b?newer_than=4 ";
const std::string list_request = "GET /v1/table?prefix=c/ ";
const std::string commit_request =
    R"(POST /v1/transactions {"operations":[{"expected_version":4,"key":"a","value":"x"},)"
    R"({"expected_version":-1,"key":"b"}]})";
const std::string vms_request = "GET /v1/vms?newer_than=7&reader=entry-1 ";

const client_case client_cases[] = {
    {"newer_row",
     read_row_newer_than_4,
     read_request,
     200,
     R"({"key":"k","version":5,"value":"v","extra":1})",
     {{}, std::optional(row{"k", 5, "v"})}},
    {"unchanged_row", read_row_newer_than_4, read_request, 304, "", {{}, std::optional<row>()}},
    {"missing_row", read_row_newer_than_4, read_request, 404, "", failed(error::not_found)},
    {"server_error", read_row_newer_than_4, read_request, 503, "", failed(error::unavailable)},
    {"other_status", read_row_newer_than_4, read_request, 400, "", failed(error::malformed)},
    {"not_json", read_row_newer_than_4, read_request, 200, "{", failed(error::malformed)},
    {"wrong_type", read_row_newer_than_4, read_request, 200, R"({"key":"k","version":"5"})",
     failed(error::malformed)},
    {"rows",
     list,
     list_request,
     200,
     R"({"rows":[{"key":"c/1","version":1,"value":"x"},{"key":"c/2","version":3,"value":""}]})",
     {{}, std::vector<row>{{"c/1", 1, "x"}, {"c/2", 3, ""}}}},
    {"committed",
     commit,
     commit_request,
     200,
     R"({"versions":[5,2]})",
     {{}, commit_outcome(committed{{5, 2}})}},
    {"conflict",
     commit,
     commit_request,
     409,
     R"({"conflicts":[{"key":"a","version":6,"value":"y"},{"key":"b","version":0,"value":null}]})",
     {{}, commit_outcome(conflicts{{{"a", 6, "y"}, {"b", 0, ""}}})}},
    {"too_few_versions", commit, commit_request, 200, R"({"versions":[5]})",
     failed(error::malformed)},
    {"commit_server_error", commit, commit_request, 503, "", failed(error::unavailable)},
    {"changed_vms",
     read_vms,
     vms_request,
     200,
     R"({"revision":9,"complete":false,"vms":[{"name":"u-1","role":"upstream","address":"",)"
     R"("failure_domain":"zilina","region":"sk","state":"leaving"}]})",
     {{},
      vm_changes{9,
                 false,
                 {{"u-1", vm_role::upstream, "zilina", "sk", std::nullopt, vm_state::leaving}}}}},
    {"unchanged_vms", read_vms, vms_request, 304, "", {{}, vm_changes{7, false, {}}}},
    {"vm_of_unknown_state", read_vms, vms_request, 200,
     R"({"revision":9,"complete":false,"vms":[{"name":"u-1","role":"upstream","address":"",)"
     R"("failure_domain":"zilina","region":"sk","state":"lost"}]})",
     failed(error::malformed)},
    {"object", get_object, "GET /v1/objects/o ", 200, "bytes", {{}, std::string("bytes")}},
    {"missing_object", get_object, "GET /v1/objects/o ", 404, "", failed(error::not_found)},
    {"object_put", put_object, "PUT /v1/objects/o bytes", 200, "", {{}, {}}},
    {"object_put_server_error", put_object, "PUT /v1/objects/o bytes", 503, "",
     failed(error::unavailable)},
};

INSTANTIATE_TEST_SUITE_P(client, client_calls, testing::ValuesIn(client_cases),
                         [](const auto& it) { return std::string(it.param.name); });

TEST(client, reports_unreachable_when_nothing_was_sent) {
    client_options options;
    {
        const scripted_server server(200, "");
        options = server.options();
    }
    EXPECT_EQ(client(options).list("").error(), error::unreachable);
}

TEST(client, times_out_on_an_unresponsive_server) {
    httplib::Server unresponsive; // connections enter its listen queue and are never served
    const int port = unresponsive.bind_to_any_port(host);
    client platform({{host, static_cast<std::uint16_t>(port)}, call_timeout, "entry-1"});
    EXPECT_EQ(platform.commit({{"a", absent_row, "x"}}).error(), error::timed_out);
}

TEST(client, rejects_a_value_that_json_cannot_represent) {
    client platform({{host, 1}, call_timeout, "entry-1"});
    EXPECT_EQ(platform.commit({{"a", absent_row, "\xff"}}).error(), error::malformed);
}

} // namespace
} // namespace savorytrail::platform
