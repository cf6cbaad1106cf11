// docs/LOGS.md lists exactly the events that the sources write.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace savorytrail::telemetry {
namespace {

namespace fs = std::filesystem;

std::string read(const fs::path& path) {
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

fs::path source_root() {
    const char* const root = std::getenv("SAVORY_SOURCE");
    return root != nullptr ? root : ".";
}

void add_matches(const std::string& text, const std::regex& pattern, std::set<std::string>& out) {
    for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it)
        out.insert((*it)[1]);
}

// The event names: string literals in the arguments of log_line and of the observer calls job_event
// and executor_changed. A log_line without a literal is an error, except the one that logs the
// observers' events.
std::set<std::string> events_in(const std::string& text, const std::string& file) {
    static const std::regex s_log_call("log_line\\(([^;]*?severity::[^;]*?)\\)\\s*[.;]");
    static const std::regex s_observer_call("(?:job_event|executor_changed)\\(([^;]*?)\\);");
    static const std::regex s_name("\"([a-z_]+)\"");
    std::set<std::string> result;
    for (std::sregex_iterator it(text.begin(), text.end(), s_observer_call), end; it != end; ++it) {
        add_matches((*it)[1], s_name, result);
    }
    for (std::sregex_iterator it(text.begin(), text.end(), s_log_call), end; it != end; ++it) {
        const std::string arguments = (*it)[1];
        if (arguments == "severity::info, event") {
            continue;
        }
        std::set<std::string> names;
        add_matches(arguments, s_name, names);
        EXPECT_FALSE(names.empty())
            << file << ": event name is not a string literal: " << arguments;
        result.merge(names);
    }
    return result;
}

TEST(log_events, page_lists_exactly_those_in_the_sources) {
    std::set<std::string> used = {"lines_suppressed"}; // written by log.cpp
    for (const char* const folder : {"source/core", "source/programs", "platform"}) {
        for (const auto& it : fs::recursive_directory_iterator(source_root() / folder)) {
            const bool is_log = it.path().parent_path().filename() == "telemetry";
            if (it.path().extension() == ".cpp" && !is_log)
                used.merge(events_in(read(it.path()), it.path().string()));
        }
    }
    std::set<std::string> listed;
    add_matches(read(source_root() / "docs" / "LOGS.md"), std::regex("\n\\| `([a-z_]+)` \\|"),
                listed);
    EXPECT_EQ(used, listed);
    EXPECT_GT(listed.size(), 5U);
}

} // namespace
} // namespace savorytrail::telemetry
