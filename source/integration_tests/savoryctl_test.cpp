// Exit codes and output of savoryctl that scripts rely on, run as a process against the platform
// stand-in.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "stand_ins/cluster/addresses.h"
#include "stand_ins/cluster/http_call.h"
#include "stand_ins/cluster/process.h"

namespace savorytrail {
namespace {

using std::chrono::seconds;

std::string folder(const char* variable) {
    const char* const value = std::getenv(variable);
    return value != nullptr ? value : ".";
}

struct command_result {
    int exit_code = -1;
    std::string output; // standard output and standard error
};

command_result run(const std::string& arguments) {
    const std::string command = folder("SAVORY_BIN") + "/savoryctl " + arguments + " 2>&1";
    FILE* const pipe = popen(command.c_str(), "r");
    command_result result;
    std::array<char, 4096> buf{};
    while (const std::size_t n = std::fread(buf.data(), 1, buf.size(), pipe))
        result.output.append(buf.data(), n);
    const int status = pclose(pipe);
    result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

std::string sample(const char* name) {
    return folder("SAVORY_SOURCE") + "/samples/" + name;
}

struct usage_case {
    const char* name;
    std::string arguments;
    int exit_code;
    std::string output; // substring of the expected output
};

std::ostream& operator<<(std::ostream& out, const usage_case& it) {
    return out << it.name;
}

class usages : public testing::TestWithParam<usage_case> {};

TEST_P(usages, have_their_exit_code) {
    const command_result result = run(GetParam().arguments);
    EXPECT_EQ(result.exit_code, GetParam().exit_code) << result.output;
    EXPECT_NE(result.output.find(GetParam().output), std::string::npos) << result.output;
}

const usage_case usage_cases[] = {
    {"help", "--help", 0, "Exit codes:\n  0  done\n"},
    {"version", "--version", 0, "savoryctl 0."},
    {"command_help", "apply --help", 0, "Example:\n  savoryctl apply "},
    {"nothing", "", 2, "subcommand is required"},
    {"unknown_flag", "validate x.toml --fast", 2, "--fast"},
    {"host_name", "status --entries http://localhost:80", 2, "expected http://IPv4:PORT"},
    {"no_such_file", "validate nowhere.toml", 2, "cannot be read: No such file or directory"},
    {"valid_manifest", "validate " + sample("brana.toml"), 0, "50 executors with 400 slots"},
    {"valid_settings", "validate --kind settings " + sample("entry.toml"), 0, "is valid"},
    {"manifest_as_settings", "validate --kind settings " + sample("brana.toml"), 2,
     "brana.toml:6:3: teams: unknown key"},
    {"assignment", "print-settings --set callers.threads=8 " + sample("entry.toml"), 0,
     "\nthreads = 8\n"},
    {"file_after_entries",
     "apply --platform http://127.43.1.1:9 --entries http://127.43.1.1:9 nowhere.toml", 2,
     "nowhere.toml: cannot be read"},
    {"unreachable_entry", "explain j-1 --entry http://127.43.1.1:9", 3, "not reached"},
    {"placement_of_no_queue", "explain-placement x.json --entry http://127.43.1.1:9", 2, "--queue"},
    {"placement_of_no_file", "explain-placement nowhere.json --queue q --entry http://127.43.1.1:9",
     2, "cannot be read"},
    {"placement_of_no_json",
     "explain-placement " + sample("brana.toml") + " --queue q --entry http://127.43.1.1:9", 2,
     "not a JSON object"},
    {"placement_of_absurd_patience",
     "explain-placement x.json --queue q --patience-ms 99999999999 --entry http://127.43.1.1:9", 2,
     "--patience-ms"},
};

INSTANTIATE_TEST_SUITE_P(savoryctl, usages, testing::ValuesIn(usage_cases),
                         [](const auto& it) { return std::string(it.param.name); });

class savoryctl_platform : public testing::Test {
protected:
    void SetUp() override {
        ASSERT_NE(m_address_range.octet(), 0);
        ASSERT_FALSE(m_platform.spawn());
        ASSERT_FALSE(m_platform.wait_until_ready(seconds(10)));
    }

    command_result on_platform(const std::string& command) const {
        return run(command + " --platform http://" + m_server.to_string());
    }

    void expect(const std::string& command, int exit_code, const std::string& output) const {
        const command_result result = on_platform(command);
        EXPECT_EQ(result.exit_code, exit_code) << result.output;
        EXPECT_NE(result.output.find(output), std::string::npos) << result.output;
    }

    void set_faults(const std::string& faults) const {
        ASSERT_FALSE(stand_ins::put(m_server, "/control/faults", faults));
    }

private:
    const stand_ins::address_range_lock m_address_range;
    const common::endpoint m_server = stand_ins::addresses(m_address_range.octet()).platform();
    stand_ins::process m_platform{
        {"stand_in_platform", {"--listen", m_server.to_string()}, "/dev/null"}};
};

TEST_F(savoryctl_platform, applies_compares_and_names_conflicts) {
    const std::string brana = sample("brana.toml");
    const std::string norrsken = sample("norrsken.toml");
    expect("diff " + brana, 0, "changes against an empty configuration\n");
    expect("apply --author anna --change-id a " + brana, 0, "accepted as version 1\n");
    expect("diff " + brana, 0, "0 changes against version 1\n");
    expect("apply --author anna --change-id a " + brana, 0, "accepted as version 1\n");
    expect("apply --author boris --expect-version 0 " + norrsken, 1,
           "conflict: version 1 by anna at ");
    expect("apply --author boris --change-id a " + norrsken, 1,
           "was already used for a different manifest");
    expect("apply --author boris --expect-version 1 --json " + norrsken, 0,
           R"("outcome":"accepted","version":2)");
}

TEST_F(savoryctl_platform, retries_after_lost_answers) {
    set_faults(R"({"mode":"lose_answers","delay_ms":0,"times":3})");
    expect("apply " + sample("brana.toml"), 0, "accepted as version 1\n");
}

TEST_F(savoryctl_platform, reports_that_nothing_changed_in_an_outage) {
    set_faults(R"({"mode":"down","delay_ms":0,"times":0})");
    expect("apply " + sample("brana.toml"), 3, "platform: unavailable; nothing changed\n");
    set_faults(R"({"mode":"up","delay_ms":0,"times":0})");
    expect("apply " + sample("brana.toml"), 0, "accepted as version 1\n");
}

} // namespace
} // namespace savorytrail
