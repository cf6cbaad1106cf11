// In-memory environment for tests of commands: a table, entries with scripted answers, and a clock
// that advances only while a command pauses.
#pragma once

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <mutex>
#include <sstream>

#include "core/control/console.h"
#include "core/control/environment.h"
#include "unit_tests/platform/fake_platform.h"

namespace savorytrail::control {

// Forwards every call to a table that outlives it, since open_table() passes ownership.
class forwarding_table final : public platform::table {
public:
    explicit forwarding_table(platform::table& inner) : m_inner(inner) {}

    common::result<std::optional<platform::row>> read_newer(const std::string& key,
                                                            std::uint64_t version) override {
        return m_inner.read_newer(key, version);
    }
    common::result<std::vector<platform::row>> list(const std::string& prefix) override {
        return m_inner.list(prefix);
    }
    common::result<platform::commit_outcome>
    commit(const std::vector<platform::operation>& operations) override {
        return m_inner.commit(operations);
    }

private:
    platform::table& m_inner;
};

class fake_environment final : public environment {
public:
    std::unique_ptr<platform::table> open_table(const common::endpoint&) override {
        return std::make_unique<forwarding_table>(table);
    }

    common::result<http::response> get(const common::endpoint& entry,
                                       const std::string& path) override {
        const std::lock_guard lock(m_mutex);
        const auto it = answers.find(entry.to_string() + path);
        if (it == answers.end())
            return make_error_code(common::error::unreachable);
        return it->second;
    }

    common::result<http::response> post(const common::endpoint& entry, const std::string& path,
                                        const std::string& body) override {
        posted = body;
        return get(entry, path);
    }

    common::time_point now() const override { return m_clock.now(); }

    void pause(common::milliseconds duration) override {
        m_clock.advance(duration);
        const std::lock_guard lock(m_mutex);
        if (m_clock.now() - m_start >= answers_change_after)
            answers.insert(later_answers.begin(), later_answers.end());
    }

    std::string utc_now() const override { return "2026-12-03T22:00:00Z"; }
    std::uint64_t random() override { return 0x1234; }

    platform::fake_table table;
    std::string posted;                                  // body of the latest POST request
    std::map<std::string, http::response> answers;       // keyed by address and path
    std::map<std::string, http::response> later_answers; // added after answers_change_after
    common::milliseconds answers_change_after{0};

private:
    std::mutex m_mutex; // guards `answers` while a command runs
    common::manual_clock m_clock;
    const common::time_point m_start = m_clock.now();
};

// Captures a command's output and error output.
struct captured_output {
    std::ostringstream out;
    std::ostringstream err;

    console as_text() { return {out, err, false}; }
    console as_json() { return {out, err, true}; }
};

inline std::string write_file(const std::string& name, const std::string& text) {
    std::string path = testing::TempDir() + "savory_control_" + name;
    std::ofstream(path) << text;
    return path;
}

} // namespace savorytrail::control
