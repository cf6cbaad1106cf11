// A child process of a test, which runs a program from the folder in the environment variable
// SAVORY_BIN. The destructor kills it, and so does the kernel when the test process dies.
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
    std::filesystem::path error_file;       // standard error output is appended to it
    std::filesystem::path output_file = {}; // standard output; if empty, use read_output()

    bool operator==(const process_options&) const = default;
};

class process {
public:
    explicit process(process_options options) : m_options(std::move(options)) {}
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    // Must be called on a thread that outlives the process: the kernel kills the child when the
    // thread that spawned it ends.
    std::error_code spawn();
    // Waits until the program prints the line `ready`. Fails if its standard output closes first.
    std::error_code wait_until_ready(std::chrono::milliseconds timeout);

    void send_signal(int signal) const;
    // Returns the exit code, or 128 plus the terminating signal; nullopt on a timeout.
    std::optional<int> wait_for_exit(std::chrono::milliseconds timeout);
    // Sends SIGTERM and waits for the exit code.
    std::optional<int> stop(std::chrono::milliseconds timeout);
    // Sends SIGKILL and waits until the process has ended.
    void kill();

    pid_t pid() const { return m_pid; }
    bool running() { return m_pid > 0 && !wait_for_exit(std::chrono::milliseconds(0)); }
    // Reads standard output until the program closes it.
    std::string read_output() const;
    // The contents of the error file so far.
    std::string read_error_output() const;

private:
    void close_output();

    const process_options m_options;
    pid_t m_pid = -1;
    int m_output = -1; // read end of the program's standard output
    std::optional<int> m_exit_code;
};

} // namespace savorytrail::stand_ins
