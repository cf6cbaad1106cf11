// Request parsing and routes of the HTTP API.
#include "core/front/api_server.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <variant>

#include "httplib.h"

namespace savorytrail::front {
namespace {

constexpr const char* json_type = "application/json";
constexpr common::milliseconds not_ready_retry{200};

void send(const reply& it, httplib::Response& response) {
    response.status = it.status;
    if (it.retry_after) {
        // Retry-After takes whole seconds; retry_after_ms in the body is exact.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*it.retry_after);
        response.set_header("Retry-After", std::to_string(seconds.count()));
    }
    response.set_content(it.body, json_type);
}

// Parses the `wait_ms` parameter, capped at `max_wait`; nullopt when it is not a number.
std::optional<common::milliseconds> parse_wait(const httplib::Request& request,
                                               common::milliseconds max_wait,
                                               common::milliseconds default_wait) {
    if (!request.has_param("wait_ms"))
        return default_wait;
    const std::string text = request.get_param_value("wait_ms");
    std::uint32_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return std::min(common::milliseconds(n), max_wait);
}

job::invalid_field invalid_wait() {
    return {"wait_ms", "must be a whole number of milliseconds"};
}

reply not_ready() {
    auto it = error_reply(503, "not_ready", "", "this entry issues no ids now; ask another");
    it.retry_after = not_ready_retry;
    return it;
}

// Counts a request while it is being served; exception-safe.
class counted_request {
public:
    explicit counted_request(std::atomic<std::size_t>& count) : m_count(count) { m_count++; }
    ~counted_request() { m_count--; }
    counted_request(const counted_request&) = delete;
    counted_request& operator=(const counted_request&) = delete;

private:
    std::atomic<std::size_t>& m_count;
};

reply invalid(const job::invalid_field& what) {
    return error_reply(400, "invalid_field", what.field, what.message);
}

struct submission_request {
    job::job job;
    common::milliseconds wait{0};
};

std::variant<submission_request, job::invalid_field>
parse_submission(const httplib::Request& request, const api_limits& limits) {
    auto job = job::parse_job(request.body, limits.job);
    if (auto* what = std::get_if<job::invalid_field>(&job))
        return std::move(*what);
    const auto wait = parse_wait(request, limits.max_wait, limits.max_wait);
    if (!wait)
        return invalid_wait();
    return submission_request{std::get<job::job>(std::move(job)), *wait};
}

} // namespace

api_server::api_server(api_limits limits, submission::issuer& ids, routing::router& router,
                       routing::keyed_router& keyed, status_sources sources)
    : m_limits(limits), m_ids(ids), m_router(router), m_keyed(keyed), m_sources(std::move(sources)),
      m_server(m_limits.server) {}

api_server::~api_server() {
    stop();
}

std::error_code api_server::start(const common::endpoint& address) {
    add_routes();
    if (const auto ec = m_server.bind(address))
        return ec;
    m_thread = std::thread([this] { m_server.serve(); });
    return {};
}

void api_server::stop() {
    m_server.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void api_server::add_routes() {
    using request = httplib::Request;
    using response = httplib::Response;
    auto& routes = m_server.routes();
    routes.Post("/v1/submission-ids",
                make_handler([this](const request& in) { return issue_ids(in); }));
    routes.Post("/v1/jobs",
                make_handler([this](const request& in) { return submit_with_key(in); }));
    routes.Put(R"(/v1/jobs/([^/]+))",
               make_handler([this](const request& in) { return submit(in); }));
    routes.Get(R"(/v1/jobs/([^/]+))", make_handler([this](const request& in) {
                   return query_or_cancel(in, peer::request_kind::query);
               }));
    routes.Get(R"(/v1/jobs/([^/]+)/story)",
               make_handler([this](const request& in) { return read_story(in); }));
    routes.Delete(R"(/v1/jobs/([^/]+))", make_handler([this](const request& in) {
                      return query_or_cancel(in, peer::request_kind::cancel);
                  }));
    routes.Get("/healthz",
               [](const request&, response& out) { out.set_content("ok\n", "text/plain"); });
    routes.Get("/readyz", [this](const request&, response& out) {
        const bool ready = m_sources.is_ready();
        out.status = ready ? 200 : 503;
        out.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    routes.Get("/v1/status", [this](const request&, response& out) {
        out.set_content(m_sources.status_json(), json_type);
    });
    routes.Get("/metrics", [this](const request&, response& out) {
        out.set_content(m_sources.metrics_text(), "text/plain; version=0.0.4");
    });
    m_server.set_error_writer([](httplib::Response& out) {
        send(error_reply(out.status, "http_error", "",
                         "no such call, a malformed request, or one that exceeds a limit"),
             out);
    });
}

std::function<void(const httplib::Request&, httplib::Response&)>
api_server::make_handler(route_function function) {
    return
        [this, function = std::move(function)](const httplib::Request& in, httplib::Response& out) {
            const counted_request counted(m_active_requests);
            send(function(in), out);
            if (!m_is_issuing)
                out.set_header("Connection", "close");
        };
}

bool api_server::drain(common::milliseconds timeout) {
    constexpr common::milliseconds poll_interval{10};
    for (common::milliseconds waited{0}; m_active_requests > 0; waited += poll_interval) {
        if (waited >= timeout)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

reply api_server::issue_ids(const httplib::Request& request) {
    const auto count = job::parse_count(request.body, m_limits.max_ids_per_call);
    if (const auto* what = std::get_if<job::invalid_field>(&count))
        return invalid(*what);
    if (!m_is_issuing || !m_sources.is_ready())
        return not_ready();
    nlohmann::json body = {{"lifetime_ms", m_ids.lifetime().count()}};
    for (const auto& id : m_ids.issue(std::get<std::size_t>(count)))
        body["ids"].push_back(submission::to_string(id));
    return {200, body.dump(), {}};
}

reply api_server::submit(const httplib::Request& request) {
    auto parsed = parse_submission(request, m_limits);
    if (const auto* what = std::get_if<job::invalid_field>(&parsed))
        return invalid(*what);
    auto& it = std::get<submission_request>(parsed);
    return route(request.matches[1], peer::request_kind::submit, std::move(it.job), it.wait);
}

reply api_server::submit_with_key(const httplib::Request& request) {
    const std::string key = request.get_header_value("Idempotency-Key");
    if (!claim::is_valid_key(key))
        return invalid({"Idempotency-Key", "must be 1 to 128 letters, digits or . _ ~ -"});
    auto parsed = parse_submission(request, m_limits);
    if (const auto* what = std::get_if<job::invalid_field>(&parsed))
        return invalid(*what);
    if (!m_is_issuing || !m_sources.is_ready())
        return not_ready();
    auto& it = std::get<submission_request>(parsed);
    const auto keyed = m_keyed.submit(key, std::move(it.job), it.wait);
    return result_reply(keyed.result, submission::to_string(keyed.id));
}

reply api_server::query_or_cancel(const httplib::Request& request, peer::request_kind kind) {
    const auto wait = parse_wait(request, m_limits.max_wait, common::milliseconds(0));
    if (!wait)
        return invalid(invalid_wait());
    return route(request.matches[1], kind, std::nullopt, *wait);
}

reply api_server::read_story(const httplib::Request& request) {
    const auto id = submission::parse_submission_id(request.matches[1].str());
    if (!id)
        return error_reply(400, "invalid_id", "id", "is not a submission id");
    auto result = m_router.route({peer::request_kind::story, *id, std::nullopt, {}, {}});
    if (!result.story.empty())
        return {200, std::move(result.story), {}};
    if (result.answer.why == job::reason::home_unreachable)
        return result_reply(result, submission::to_string(*id));
    return error_reply(404, "no_story", "id",
                       "nothing is known of this submission, or no longer; stories end with the "
                       "entry that issued the id");
}

reply api_server::route(const std::string& id_text, peer::request_kind kind,
                        std::optional<job::job> job, common::milliseconds wait) {
    const auto id = submission::parse_submission_id(id_text);
    if (!id)
        return error_reply(400, "invalid_id", "id", "is not a submission id");
    const auto result = m_router.route({kind, *id, std::move(job), wait, {}});
    return result_reply(result, id_text);
}

} // namespace savorytrail::front
