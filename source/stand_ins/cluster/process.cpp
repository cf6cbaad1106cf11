// Spawning, signalling and reaping of child processes.
#include "stand_ins/cluster/process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <thread>

#include "core/common/error.h"

namespace savorytrail::stand_ins {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds exit_poll_interval(5);
constexpr int signal_exit_offset = 128;

// The kernel kills the child when its parent dies, including after a crash.
const std::vector<std::string> s_launcher{"/usr/bin/setpriv", "--pdeathsig", "KILL"};

std::string program_path(const std::string& program) {
    const char* folder = std::getenv("SAVORY_BIN");
    return (std::filesystem::path(folder != nullptr ? folder : ".") / program).string();
}

milliseconds time_left(steady_clock::time_point deadline) {
    return std::chrono::ceil<milliseconds>(deadline - steady_clock::now());
}

// RAII wrapper of the attributes and file actions of posix_spawn.
class spawn_attributes {
public:
    spawn_attributes(int output, const std::string& output_file, const std::string& error_file) {
        posix_spawn_file_actions_init(&m_actions);
        posix_spawn_file_actions_addopen(&m_actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
        if (output_file.empty())
            posix_spawn_file_actions_adddup2(&m_actions, output, STDOUT_FILENO);
        else
            add_appended(STDOUT_FILENO, output_file);
        add_appended(STDERR_FILENO, error_file);
        sigset_t no_signals;
        sigemptyset(&no_signals);
        posix_spawnattr_init(&m_attributes);
        posix_spawnattr_setsigmask(&m_attributes, &no_signals);
        posix_spawnattr_setflags(&m_attributes, POSIX_SPAWN_SETSIGMASK);
    }
    ~spawn_attributes() {
        posix_spawn_file_actions_destroy(&m_actions);
        posix_spawnattr_destroy(&m_attributes);
    }
    spawn_attributes(const spawn_attributes&) = delete;
    spawn_attributes& operator=(const spawn_attributes&) = delete;

    int run(std::vector<std::string> command, pid_t& pid) const {
        std::vector<char*> arguments;
        arguments.reserve(command.size() + 1);
        for (auto& it : command)
            arguments.push_back(it.data());
        arguments.push_back(nullptr);
        return posix_spawn(&pid, arguments[0], &m_actions, &m_attributes, arguments.data(),
                           environ);
    }

private:
    void add_appended(int fd, const std::string& file) {
        posix_spawn_file_actions_addopen(&m_actions, fd, file.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    }

    posix_spawn_file_actions_t m_actions{};
    posix_spawnattr_t m_attributes{};
};

} // namespace

process::~process() {
    kill();
    close_output();
}

std::error_code process::spawn() {
    int output[2] = {-1, -1};
    if (pipe2(output, O_CLOEXEC) != 0)
        return {errno, std::generic_category()};
    close_output();
    m_output = output[0];
    m_exit_code.reset();

    auto command = s_launcher;
    command.push_back(program_path(m_options.program));
    command.insert(command.end(), m_options.arguments.begin(), m_options.arguments.end());
    const int error =
        spawn_attributes(output[1], m_options.output_file.string(), m_options.error_file.string())
            .run(std::move(command), m_pid);
    close(output[1]);
    return {error, std::generic_category()};
}

std::error_code process::wait_until_ready(milliseconds timeout) {
    const auto deadline = steady_clock::now() + timeout;
    std::string printed;
    while (printed.find("ready\n") == std::string::npos) {
        pollfd it{m_output, POLLIN, 0};
        const auto left = time_left(deadline);
        if (left <= milliseconds(0) || poll(&it, 1, static_cast<int>(left.count())) == 0)
            return common::make_error_code(common::error::timed_out);
        std::array<char, 256> buf{};
        const auto n = read(m_output, buf.data(), buf.size());
        if (n <= 0)
            return common::make_error_code(common::error::unavailable);
        printed.append(buf.data(), static_cast<std::size_t>(n));
    }
    return {};
}

void process::send_signal(int signal) const {
    if (m_pid > 0 && !m_exit_code)
        ::kill(m_pid, signal);
}

std::optional<int> process::wait_for_exit(milliseconds timeout) {
    const auto deadline = steady_clock::now() + timeout;
    while (m_pid > 0 && !m_exit_code) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_exit_code =
                WIFSIGNALED(status) ? signal_exit_offset + WTERMSIG(status) : WEXITSTATUS(status);
        } else if (steady_clock::now() >= deadline) {
            break;
        } else {
            std::this_thread::sleep_for(exit_poll_interval);
        }
    }
    return m_exit_code;
}

std::optional<int> process::stop(milliseconds timeout) {
    send_signal(SIGTERM);
    return wait_for_exit(timeout);
}

void process::kill() {
    constexpr milliseconds kill_timeout(10'000);
    send_signal(SIGKILL);
    wait_for_exit(kill_timeout);
}

std::string process::read_output() const {
    std::string text;
    std::array<char, 4096> buf{};
    for (;;) {
        const auto n = read(m_output, buf.data(), buf.size());
        if (n <= 0)
            return text;
        text.append(buf.data(), static_cast<std::size_t>(n));
    }
}

std::string process::read_error_output() const {
    std::ifstream file(m_options.error_file);
    return {std::istreambuf_iterator<char>(file), {}};
}

void process::close_output() {
    if (m_output >= 0)
        close(m_output);
    m_output = -1;
}

} // namespace savorytrail::stand_ins
