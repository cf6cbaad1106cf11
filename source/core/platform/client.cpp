// HTTP client of the platform: the requests of each call and the interpretation of responses.
#include "core/platform/client.h"

#include "absl/strings/str_cat.h"
#include "core/platform/messages.h"

namespace savorytrail::platform {
namespace {

using common::error;
using http::request;
using http::response;

constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_server_error = 500;

bool is_unreserved(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '.' || c == '_' || c == '~' || c == '/';
}

// Percent-encodes all characters but unreserved ones and slashes, which occur in keys.
std::string url_encoded(const std::string& text) {
    static constexpr const char* s_digits = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        if (is_unreserved(c)) {
            result += c;
            continue;
        }
        const auto code = static_cast<unsigned char>(c);
        result += {'%', s_digits[code / 16], s_digits[code % 16]};
    }
    return result;
}

request make_request(http::method verb, std::string path, std::string body = {}) {
    request message;
    message.verb = verb;
    message.path = std::move(path);
    message.body = std::move(body);
    return message;
}

request get_request(std::string path) {
    return make_request(http::method::get, std::move(path));
}

// Maps an HTTP status that a call does not handle itself to an error.
std::error_code to_error(int status) {
    return make_error_code(status >= status_server_error ? error::unavailable : error::malformed);
}

} // namespace

client::client(client_options options, std::function<void()> count_call)
    : m_reader(std::move(options.reader)), m_count_call(std::move(count_call)),
      m_http(std::move(options.server), {options.call_timeout, options.call_timeout}) {}

common::result<response> client::send(const request& message) {
    m_count_call();
    auto answer = m_http.send(message);
    // A timeout or a broken connection may mean that the other pooled connections are broken too.
    if (!answer && answer.error() != error::unreachable)
        m_http.drop_connections();
    return answer;
}

common::result<std::optional<row>> client::read_newer(const std::string& key,
                                                      std::uint64_t version) {
    std::string path = absl::StrCat("/v1/table/", url_encoded(key));
    if (version > 0)
        absl::StrAppend(&path, "?newer_than=", version);
    const auto answer = send(get_request(std::move(path)));
    if (!answer)
        return answer.error();

    switch (answer.value().status) {
    case status_ok:
        break;
    case status_not_modified:
        return std::optional<row>();
    case status_not_found:
        return make_error_code(error::not_found);
    default:
        return to_error(answer.value().status);
    }
    auto found = read_row(answer.value().body);
    if (!found)
        return found.error();
    return std::optional<row>(std::move(found).value());
}

common::result<std::vector<row>> client::list(const std::string& prefix) {
    const auto answer = send(get_request(absl::StrCat("/v1/table?prefix=", url_encoded(prefix))));
    if (!answer)
        return answer.error();
    if (answer.value().status != status_ok)
        return to_error(answer.value().status);
    return read_rows(answer.value().body);
}

common::result<commit_outcome> client::commit(const std::vector<operation>& operations) {
    auto body = write_operations(operations);
    if (!body)
        return body.error();
    const auto answer =
        send(make_request(http::method::post, "/v1/transactions", std::move(body).value()));
    if (!answer)
        return answer.error();

    if (answer.value().status == status_conflict) {
        auto conflict = read_conflicts(answer.value().body);
        if (!conflict)
            return conflict.error();
        return commit_outcome(std::move(conflict).value());
    }
    if (answer.value().status != status_ok)
        return to_error(answer.value().status);
    auto result = read_committed(answer.value().body);
    if (!result)
        return result.error();
    if (result.value().versions.size() != operations.size())
        return make_error_code(error::malformed);
    return commit_outcome(std::move(result).value());
}

common::result<vm_changes> client::read_newer(std::uint64_t revision) {
    const auto answer = send(get_request(
        absl::StrCat("/v1/vms?newer_than=", revision, "&reader=", url_encoded(m_reader))));
    if (!answer)
        return answer.error();
    if (answer.value().status == status_not_modified)
        return vm_changes{.revision = revision, .complete = false, .vms = {}};
    if (answer.value().status != status_ok)
        return to_error(answer.value().status);
    return read_vm_changes(answer.value().body);
}

common::result<void> client::put(const std::string& name, const std::string& content) {
    request message =
        make_request(http::method::put, absl::StrCat("/v1/objects/", url_encoded(name)), content);
    message.content_type = "application/octet-stream";
    const auto answer = send(message);
    if (!answer)
        return answer.error();
    const int status = answer.value().status;
    if (status != status_ok && status != status_no_content)
        return to_error(status);
    return boost::outcome_v2::success();
}

common::result<std::string> client::get(const std::string& name) {
    const auto answer = send(get_request(absl::StrCat("/v1/objects/", url_encoded(name))));
    if (!answer)
        return answer.error();
    if (answer.value().status == status_not_found)
        return make_error_code(error::not_found);
    if (answer.value().status != status_ok)
        return to_error(answer.value().status);
    return answer.value().body;
}

} // namespace savorytrail::platform
