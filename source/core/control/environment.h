// Interface to the external dependencies of savoryctl's commands: the platform, entries, the clock
// and random numbers.
#pragma once

#include <memory>
#include <string>

#include "core/common/clock.h"
#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/common/random.h"
#include "core/http/client.h"
#include "core/platform/platform.h"

namespace savorytrail::control {

class environment {
public:
    virtual ~environment() = default;

    virtual std::unique_ptr<platform::table> open_table(const common::endpoint& server) = 0;

    // Sends a GET request to an entry. Thread-safe.
    virtual common::result<http::response> get(const common::endpoint& entry,
                                               const std::string& path) = 0;

    // Sends a POST request with a JSON body to an entry.
    virtual common::result<http::response>
    post(const common::endpoint& entry, const std::string& path, const std::string& body) = 0;

    virtual common::time_point now() const = 0;
    virtual void pause(common::milliseconds duration) = 0;
    virtual std::string utc_now() const = 0; // ISO 8601
    virtual std::uint64_t random() = 0;

protected:
    environment() = default;
    environment(const environment&) = default;
    environment& operator=(const environment&) = default;
};

// Implementation with network connections and the system clock.
class process_environment final : public environment {
public:
    std::unique_ptr<platform::table> open_table(const common::endpoint& server) override;
    common::result<http::response> get(const common::endpoint& entry,
                                       const std::string& path) override;
    common::result<http::response> post(const common::endpoint& entry, const std::string& path,
                                        const std::string& body) override;
    common::time_point now() const override;
    void pause(common::milliseconds duration) override;
    std::string utc_now() const override;
    std::uint64_t random() override;

private:
    common::system_clock m_clock;
    common::secure_random m_random;
};

} // namespace savorytrail::control
