// The environment of the savoryctl process: network, system clock and random numbers.
#include "core/control/environment.h"

#include <array>
#include <ctime>
#include <thread>

#include "core/platform/client.h"

namespace savorytrail::control {
namespace {

constexpr common::milliseconds platform_timeout{3000};
constexpr http::client_timeouts entry_timeouts{.connect = common::milliseconds(500),
                                               .response = common::milliseconds(2000)};

} // namespace

std::unique_ptr<platform::table> process_environment::open_table(const common::endpoint& server) {
    return std::make_unique<platform::client>(
        platform::client_options{server, platform_timeout, "savoryctl"});
}

common::result<http::response> process_environment::get(const common::endpoint& entry,
                                                        const std::string& path) {
    http::request message;
    message.path = path;
    return http::client(entry, entry_timeouts).send(message);
}

common::result<http::response> process_environment::post(const common::endpoint& entry,
                                                         const std::string& path,
                                                         const std::string& body) {
    http::request message;
    message.verb = http::method::post;
    message.path = path;
    message.body = body;
    return http::client(entry, entry_timeouts).send(message);
}

common::time_point process_environment::now() const {
    return m_clock.now();
}

void process_environment::pause(common::milliseconds duration) {
    std::this_thread::sleep_for(duration);
}

std::string process_environment::utc_now() const {
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::array<char, sizeof("2026-12-03T22:00:00Z")> buf{};
    std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return buf.data();
}

std::uint64_t process_environment::random() {
    return m_random.next();
}

} // namespace savorytrail::control
