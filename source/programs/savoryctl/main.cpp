// savoryctl, the operators' command line. Defines flags and help; core/control has the commands.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>

#include "core/control/apply.h"
#include "core/control/explain.h"
#include "core/control/explain_log.h"
#include "core/control/explain_placement.h"
#include "core/control/status.h"
#include "core/control/validate.h"

namespace savorytrail {
namespace {

using control::exit_status;

constexpr const char* footer = R"(Examples:
  savoryctl validate samples/brana.toml
  savoryctl apply samples/brana.toml --platform http://10.0.0.1:7000
  savoryctl status --entries http://10.1.0.1:8080,http://10.2.0.1:8080
  savoryctl explain 83f4317b8b9f3551 --log entry-1.log --log entry-2.log
  savoryctl explain-placement job.json --entry http://10.1.0.1:9464 --queue short

Exit codes:
  0  done
  1  refused: a conflict with another change, or the other side refused
  2  invalid usage, or an invalid file; of explain-placement: any failure
  3  the platform or an entry could not be reached, or the outcome is unknown
  4  accepted, but not in force on every entry in time)";

// The flags of all commands, and the selected command.
struct command_line {
    CLI::App app{
        "Operates savorytrail: checks and applies manifests, shows status, explains jobs."};
    bool json = false;
    std::string path;
    std::string kind = "manifest";
    std::string platform;
    std::vector<std::string> entries;
    std::string entry;
    std::string job;
    std::vector<std::string> logs;
    std::int64_t wait_ms = 6000;
    control::apply_options apply;
    control::explain_placement_options placement;
    control::print_settings_options print;
    std::function<exit_status(control::environment&, control::console&)> run;
};

const CLI::Validator url_check(
    [](std::string& text) {
        return common::parse_http_url(text) ? std::string()
                                            : "expected http://IPv4:PORT, found " + text;
    },
    "URL");

common::endpoint endpoint_of(const std::string& url) {
    return common::parse_http_url(url).value();
}

std::vector<common::endpoint> endpoints_of(const std::vector<std::string>& urls) {
    std::vector<common::endpoint> result;
    result.reserve(urls.size());
    for (const std::string& url : urls)
        result.push_back(endpoint_of(url));
    return result;
}

CLI::App* add_command(command_line& line, const char* name, const char* help, const char* example) {
    CLI::App* const command = line.app.add_subcommand(name, help);
    command->footer(std::string("Example:\n  savoryctl ") + example);
    return command;
}

void add_json(CLI::App* command, command_line& line) {
    command->add_flag("--json", line.json, "Print one JSON object on standard output");
}

void add_entries(CLI::App* command, command_line& line) {
    command->add_option("--entries", line.entries, "Entries to ask, separated by commas")
        ->delimiter(',')
        ->allow_extra_args(false) // a FILE may follow
        ->check(url_check);
}

void add_platform(CLI::App* command, command_line& line) {
    command->add_option("--platform", line.platform, "Platform service")
        ->required()
        ->check(url_check);
}

void add_validate(command_line& line) {
    CLI::App* const command = add_command(line, "validate", "Check a file without network access",
                                          "validate samples/brana.toml");
    add_json(command, line);
    command->add_option("FILE", line.path, "TOML file")->required();
    command->add_option("--kind", line.kind, "Kind of file")
        ->check(CLI::IsMember({"manifest", "settings"}))
        ->capture_default_str();
    command->callback([&line] {
        line.run = [&line](control::environment&, control::console& io) {
            const auto kind = line.kind == "manifest" ? control::file_kind::manifest
                                                      : control::file_kind::settings;
            return control::validate(line.path, kind, io);
        };
    });
}

void add_print_settings(command_line& line) {
    CLI::App* const command =
        add_command(line, "print-settings", "Print the effective settings of an entry",
                    "print-settings samples/entry.toml --set callers.threads=8");
    command->add_option("FILE", line.print.path, "Settings file; if omitted, built-in defaults");
    command->add_option("--set", line.print.assignments, "KEY=VALUE that overrides the file")
        ->allow_extra_args(false); // FILE may follow
    command->callback([&line] {
        line.run = [&line](control::environment&, control::console& io) {
            return control::print_settings(line.print, io);
        };
    });
}

void add_reference(command_line& line) {
    CLI::App* const command =
        add_command(line, "reference", "Print the reference of all settings as Markdown",
                    "reference > docs/SETTINGS.md");
    command->callback([&line] {
        line.run = [](control::environment&, control::console& io) {
            return control::print_reference(io);
        };
    });
}

void add_diff(command_line& line) {
    CLI::App* const command =
        add_command(line, "diff", "Show what applying a manifest would change",
                    "diff samples/brana.toml --platform http://10.0.0.1:7000");
    add_json(command, line);
    command->add_option("FILE", line.path, "Manifest")->required();
    add_platform(command, line);
    command->callback([&line] {
        line.run = [&line](control::environment& env, control::console& io) {
            return control::diff(line.path, endpoint_of(line.platform), env, io);
        };
    });
}

void add_apply(command_line& line) {
    CLI::App* const command =
        add_command(line, "apply", "Put a manifest in force",
                    "apply samples/brana.toml --platform http://10.0.0.1:7000 \\\n"
                    "      --entries http://10.1.0.1:8080,http://10.2.0.1:8080");
    add_json(command, line);
    command->add_option("FILE", line.apply.path, "Manifest")->required();
    add_platform(command, line);
    add_entries(command, line);
    command
        ->add_option("--author", line.apply.author,
                     "Author of the change; shown to authors of conflicting changes")
        ->capture_default_str();
    command->add_option("--change-id", line.apply.change_id,
                        "Id of this change; applying it again under the same id has no effect");
    command->add_option("--expect-version", line.apply.expected_version,
                        "Refuse unless this is the current version; 0: no manifest yet");
    command
        ->add_option("--wait-ms", line.wait_ms, "Longest wait until all entries have it in force")
        ->check(CLI::Range(0, 600000))
        ->capture_default_str();
    command->callback([&line] {
        line.run = [&line](control::environment& env, control::console& io) {
            line.apply.platform = endpoint_of(line.platform);
            line.apply.entries = endpoints_of(line.entries);
            line.apply.wait = common::milliseconds(line.wait_ms);
            return control::apply(line.apply, env, io);
        };
    });
}

void add_status(command_line& line) {
    CLI::App* const command =
        add_command(line, "status", "Show the state of entries",
                    "status --entries http://10.1.0.1:8080,http://10.2.0.1:8080");
    add_json(command, line);
    add_entries(command, line);
    command->get_option("--entries")->required();
    command->callback([&line] {
        line.run = [&line](control::environment& env, control::console& io) {
            return control::status(endpoints_of(line.entries), env, io);
        };
    });
}

void add_explain(command_line& line) {
    CLI::App* const command = add_command(line, "explain", "Explain what happened to one job",
                                          "explain JOB --entry http://10.1.0.1:8080");
    add_json(command, line);
    command->add_option("JOB", line.job, "Submission id, or a job's id in the logs")->required();
    auto* const source = command->add_option_group("source", "Where the events come from");
    source->add_option("--entry", line.entry, "Any entry")->check(url_check);
    source
        ->add_option("--log", line.logs,
                     "Logs of entries of the users' platform; - reads standard input")
        ->allow_extra_args(false);
    source->require_option(1);
    command->callback([&line] {
        line.run = [&line](control::environment& env, control::console& io) {
            return line.logs.empty() ? control::explain(line.job, endpoint_of(line.entry), env, io)
                                     : control::explain_log(line.job, line.logs, io);
        };
    });
}

void add_explain_placement(command_line& line) {
    CLI::App* const command = add_command(
        line, "explain-placement", "Explain where a job would go now, without sending it",
        "explain-placement job.json --entry http://10.1.0.1:9464 --queue short");
    add_json(command, line);
    command->add_option("FILE", line.placement.path, "The job in JSON, as a caller would send it")
        ->required();
    command
        ->add_option("--entry", line.entry,
                     "Entry of the users' platform, at the port that serves its metrics")
        ->required()
        ->check(url_check);
    auto* const queue = command->add_option("--queue", line.placement.queue, "Name of the queue");
    auto* const host =
        command->add_option("--host", line.placement.host, "Host that callers of the queue name")
            ->excludes(queue);
    command->add_option("--path", line.placement.route, "Path that callers of the queue name")
        ->needs(host);
    command
        ->add_option("--patience-ms", line.placement.patience_ms,
                     "How long the caller waits; if omitted, as the queue's route says")
        ->check(CLI::Range(1, 86'400'000));
    command->callback([&line] {
        if (line.placement.queue.empty() == line.placement.host.empty()) {
            throw CLI::RequiredError("--queue, or --host and --path");
        }
        line.run = [&line](control::environment& env, control::console& io) {
            line.placement.entry = endpoint_of(line.entry);
            return control::explain_placement(line.placement, env, io);
        };
    });
}

void add_commands(command_line& line) {
    line.app.set_version_flag("--version", "savoryctl " SAVORY_VERSION);
    line.app.require_subcommand(1);
    line.app.footer(footer);
    add_validate(line);
    add_print_settings(line);
    add_reference(line);
    add_diff(line);
    add_apply(line);
    add_status(line);
    add_explain(line);
    add_explain_placement(line);
}

int run(int argc, char** argv) {
    command_line line;
    const char* const user = std::getenv("USER");
    line.apply.author = user != nullptr ? user : "unknown";
    add_commands(line);
    try {
        line.app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        const int code = line.app.exit(e);
        return code == 0 ? 0 : static_cast<int>(exit_status::bad_input);
    }
    control::process_environment env;
    control::console io{std::cout, std::cerr, line.json};
    return static_cast<int>(line.run(env, io));
}

} // namespace
} // namespace savorytrail

int main(int argc, char** argv) {
    return savorytrail::run(argc, argv);
}
