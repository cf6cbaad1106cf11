// A child process of a test: a program from the folder named by the environment variable
// SAVORY_BIN. It is killed when its object goes, and by the kernel when the test process ends.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace savorytrail::stand_ins {

struct process_options {
    std::string program; // file name within SAVORY_BIN
    std::vector<std::string> arguments;
    std::filesystem::path error_file;       // receives its standard error, appended
    std::filesystem::path output_file = {}; // the same of its standard output; empty: read_output()

    bool operator==(const process_options&) const = default;
};

class process {
public:
    explicit process(process_options options) : m_options(std::move(options)) {}
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    // Must be called on a thread that lives as long as the process should.
    std::error_code spawn();
    // Waits until the program has printed the line `ready`. Fails when it ends before.
    std::error_code wait_until_ready(std::chrono::milliseconds timeout);

    void send_signal(int signal) const;
    // The exit code, or 128 plus the signal that ended it; nullopt after the timeout.
    std::optional<int> wait_for_exit(std::chrono::milliseconds timeout);
    // SIGTERM, then the exit code.
    std::optional<int> stop(std::chrono::milliseconds timeout);
    // SIGKILL, and waits until the process is gone.
    void kill();

    pid_t pid() const { return m_pid; }
    bool running() { return m_pid > 0 && !wait_for_exit(std::chrono::milliseconds(0)); }
    // What the program has written to its standard output; waits until it closes it.
    std::string read_output() const;
    // What the program has written to its standard error so far.
    std::string read_error_output() const;

private:
    void close_output();

    const process_options m_options;
    pid_t m_pid = -1;
    int m_output = -1; // read end of the program's standard output
    std::optional<int> m_exit_code;
};

} // namespace savorytrail::stand_ins
