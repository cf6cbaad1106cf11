// savory_measure: runs scenarios on real processes over loopback and prints one JSON line per
// scenario and policy.
#include <CLI/CLI.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "benchmarks/measure/capacity.h"
#include "benchmarks/measure/run.h"

namespace {

using namespace savorytrail::measure;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;

bool is_sound(const nlohmann::json& line) {
    return line["answers_sound"].get<bool>() && line["double_starts"].get<int>() == 0;
}

// Measures idle fleets up to the largest size that the design must support.
int run_capacity() {
    const std::vector<fleet_size> sizes = {
        {1, 2, 51, 16}, {3, 2, 51, 16}, {3, 6, 210, 70}, {7, 6, 490, 160}};
    for (const auto& it : sizes) {
        const auto line = measure_capacity(it, {});
        if (!line)
            return exit_failed;
        std::cout << line->dump() << std::endl;
    }
    return exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app("Measures savorytrail on real processes over loopback.\n"
                 "Exit codes: 0 all runs sound, 1 a run failed, a task was started twice or an "
                 "answer was unsound.\nExample: savory_measure --scenario steady --seed 7");
    std::string name;
    std::string policy;
    run_options options;
    app.add_option("--scenario", name, "Only scenarios of this name");
    app.add_option("--policy", policy, "Only this policy; otherwise standard and the baselines");
    app.add_option("--seed", options.seed, "Seed of arrivals and jobs");
    app.add_option("--seconds", options.seconds, "Length of each measured span (s)");
    bool capacity = false;
    app.add_flag("--capacity", capacity, "Control load of fleets at rest, by their size");
    app.set_version_flag("--version", SAVORY_VERSION);
    CLI11_PARSE(app, argc, argv);

    if (capacity)
        return run_capacity();
    const std::vector<std::string> policies =
        policy.empty()
            ? std::vector<std::string>{"standard", "fifo", "random", "no_ejection", "no_admission"}
            : std::vector<std::string>{policy};
    int exit_code = exit_ok;
    for (const auto& it : all_scenarios()) {
        if (!name.empty() && it.name != name)
            continue;
        for (const auto& chosen : policies) {
            options.policy = chosen;
            const auto line = run(it, options);
            if (line)
                std::cout << line->dump() << std::endl;
            if (!line || !is_sound(*line))
                exit_code = exit_failed;
        }
    }
    return exit_code;
}
