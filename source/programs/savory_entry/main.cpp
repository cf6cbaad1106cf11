// savory-entry, the server that runs on an entry VM.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "core/entry/entry.h"
#include "core/settings/load.h"
#include "core/settings/print.h"
#include "core/telemetry/log.h"

namespace {

using namespace savorytrail;

constexpr int exit_ok = 0;
constexpr int exit_cannot_start = 1;
constexpr int exit_bad_settings = 2;
constexpr int exit_requests_aborted = 3;

telemetry::severity level_of(const std::string& name) {
    if (name == "error")
        return telemetry::severity::error;
    return name == "warning" ? telemetry::severity::warning : telemetry::severity::info;
}

// Blocks the stop signals in all threads, so that sigwait() in run() receives them.
sigset_t block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const schema::entry_settings& settings) {
    const sigset_t signals = block_stop_signals();
    telemetry::start_log("savory-entry", settings.node().name(), settings.node().failure_domain(),
                         level_of(settings.log().level()));
    entry::entry process(settings);
    if (const auto ec = process.start()) {
        std::cerr << "savory-entry: cannot listen: " << ec.message() << "\n";
        _exit(exit_cannot_start);
    }
    std::cout << "ready" << std::endl;

    int received = 0;
    sigwait(&signals, &received);
    const bool is_clean = process.stop();
    // Exits without joining the threads: idle keep-alive connections block theirs until they time
    // out, and stop() has already finished all work that matters.
    _exit(is_clean ? exit_ok : exit_requests_aborted);
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app(
        "Entry VM server of savorytrail: takes jobs from callers and runs their tasks on "
        "upstreams.\nExit codes: 0 stopped cleanly, 1 cannot start, 2 invalid usage or settings, "
        "3 stopped with requests in flight.\nExample: savory-entry --settings entry.toml");
    std::string file;
    std::vector<std::string> overrides;
    bool print_only = false;
    app.add_option("--settings", file, "Settings file (TOML)")->required();
    app.add_option("--set", overrides, "Override, such as callers.threads=8")
        ->allow_extra_args(false);
    app.add_flag("--print-settings", print_only, "Print the effective settings and exit");
    app.set_version_flag("--version", SAVORY_VERSION);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? exit_ok : exit_bad_settings;
    }

    const auto loaded = settings::load_file<schema::entry_settings>(file, overrides);
    if (!loaded.ok()) {
        std::cerr << settings::to_string(loaded.problems);
        return exit_bad_settings;
    }
    if (print_only) {
        std::cout << settings::print(loaded.value);
        return exit_ok;
    }
    return run(loaded.value);
}
