// Applies a manifest: a compare-and-swap in the platform's table, then polling of the entries until
// they report the new version.
#include "core/control/apply.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "core/configuration/apply.h"
#include "core/control/entries.h"
#include "core/control/input.h"
#include "core/control/report.h"
#include "core/manifest/difference.h"

namespace savorytrail::control {
namespace {

using common::milliseconds;
using nlohmann::json;

constexpr milliseconds commit_retry_time{10000};   // for a commit whose answer was lost
constexpr milliseconds commit_retry_interval{250}; // between attempts
constexpr milliseconds status_poll_interval{200};  // between status requests to entries
constexpr milliseconds progress_interval{1000};    // between progress lines

// Writes progress lines to `err`, at most one per progress_interval; the first interval is silent.
class progress_printer {
public:
    progress_printer(environment& env, console& io) : m_env(env), m_io(io), m_last(env.now()) {}

    void print(const std::string& line) {
        if (m_env.now() - m_last < progress_interval)
            return;
        m_last = m_env.now();
        m_io.err << line << std::endl;
    }

private:
    environment& m_env;
    console& m_io;
    common::time_point m_last;
};

std::string random_change_id(environment& env) {
    return absl::StrFormat("%016x%016x", env.random(), env.random());
}

json to_json(const configuration::change& it) {
    return {{"version", it.version},
            {"change_id", it.change_id},
            {"author", it.author},
            {"applied_at", it.applied_at}};
}

std::string describe(const configuration::change& it) {
    if (it.version == 0)
        return "no configuration has been applied yet";
    return absl::StrCat("version ", it.version, " by ", it.author, " at ", it.applied_at,
                        " (change ", it.change_id, ") is the current configuration");
}

// Which entries have put an accepted version into force.
struct rollout_state {
    std::size_t in_force = 0;
    std::vector<entry_status> entries;
};

rollout_state query_rollout(const apply_options& options, std::uint64_t version, environment& env) {
    rollout_state result{0, query_entries(options.entries, env)};
    result.in_force =
        std::count_if(result.entries.begin(), result.entries.end(), [&](const entry_status& it) {
            return !it.failure && it.configuration_version >= version;
        });
    return result;
}

rollout_state wait_for_rollout(const apply_options& options, std::uint64_t version,
                               environment& env, console& io) {
    const common::time_point deadline = env.now() + options.wait;
    progress_printer progress(env, io);
    for (;;) {
        rollout_state state = query_rollout(options, version, env);
        if (state.in_force == options.entries.size() || env.now() >= deadline)
            return state;
        progress.print(
            absl::StrCat("waiting: in force on ", state.in_force, " of ", options.entries.size()));
        env.pause(status_poll_interval);
    }
}

void print_lagging_entries(const rollout_state& state, std::uint64_t version, std::ostream& err) {
    for (const entry_status& it : state.entries) {
        if (it.failure)
            err << "  " << it.address.to_string() << ": " << it.failure.message() << "\n";
        else if (it.configuration_version < version)
            err << "  " << it.vm << " at " << it.address.to_string() << ": version "
                << it.configuration_version << "\n";
    }
}

class applier {
public:
    applier(const apply_options& options, environment& env, console& io)
        : m_options(options), m_env(env), m_io(io),
          m_change_id(options.change_id.empty() ? random_change_id(env) : options.change_id) {}

    exit_status run(const manifest_file& file) {
        const auto table = m_env.open_table(m_options.platform);
        const auto outcome = configuration::apply(*table, proposal(file), make_retry_predicate());
        if (!outcome)
            return report_platform_error(outcome.error(), m_io);
        return std::visit([this](const auto& it) { return report(it); }, outcome.value());
    }

private:
    configuration::proposal proposal(const manifest_file& file) const {
        return {file.text, m_change_id, m_options.author, m_env.utc_now(),
                m_options.expected_version};
    }

    configuration::retry_predicate make_retry_predicate() {
        const common::time_point deadline = m_env.now() + commit_retry_time;
        return [this, deadline, progress = progress_printer(m_env, m_io)]() mutable {
            if (m_env.now() >= deadline)
                return false;
            progress.print("no answer from the platform; retrying");
            m_env.pause(commit_retry_interval);
            return true;
        };
    }

    exit_status report(const configuration::accepted& it) {
        if (!m_io.json) {
            m_io.out << "accepted as version " << it.version;
            if (it.current_version != it.version)
                m_io.out << ", since replaced by version " << it.current_version;
            m_io.out << std::endl;
        }
        if (m_options.entries.empty())
            return report_unchecked_rollout(it);
        return report_rollout(it, wait_for_rollout(m_options, it.version, m_env, m_io));
    }

    exit_status report_unchecked_rollout(const configuration::accepted& it) {
        if (m_io.json)
            print_json(accepted_json(it), m_io);
        else
            m_io.out << "entries not checked: no --entries given\n";
        return exit_status::ok;
    }

    exit_status report_rollout(const configuration::accepted& it, const rollout_state& state) {
        const std::size_t entry_count = m_options.entries.size();
        if (m_io.json) {
            json line = accepted_json(it);
            line["in_force"] = state.in_force;
            line["asked"] = entry_count;
            print_json(line, m_io);
        } else {
            m_io.out << "in force on " << state.in_force << " of " << entry_count << "\n";
            print_lagging_entries(state, it.version, m_io.err);
        }
        return state.in_force == entry_count ? exit_status::ok : exit_status::not_in_force;
    }

    exit_status report(const configuration::conflict& it) {
        if (m_io.json)
            print_json({{"outcome", "conflict"}, {"winner", to_json(it.winner)}}, m_io);
        else
            m_io.err << "conflict: " << describe(it.winner) << "; nothing changed\n";
        return exit_status::refused;
    }

    exit_status report(const configuration::reused_change_id& it) {
        return report_error(exit_status::refused,
                            absl::StrCat("change id ", m_change_id,
                                         " was already used for a different manifest: ",
                                         describe(it.owner), "; nothing changed"),
                            m_io);
    }

    exit_status report(const configuration::unknown_outcome& it) {
        return report_error(
            exit_status::unreachable,
            absl::StrCat("it is unknown whether the change was accepted (", it.cause.message(),
                         "); to find out, repeat the command with ", "--change-id ", m_change_id),
            m_io);
    }

    json accepted_json(const configuration::accepted& it) const {
        return {{"outcome", "accepted"},
                {"version", it.version},
                {"current_version", it.current_version},
                {"change_id", m_change_id}};
    }

    const apply_options& m_options;
    environment& m_env;
    console& m_io;
    const std::string m_change_id;
};

void print_changes(const std::vector<manifest::change>& changes, std::uint64_t version,
                   console& io) {
    if (io.json) {
        json list = json::array();
        for (const manifest::change& it : changes)
            list.push_back(it.to_string());
        print_json({{"version", version}, {"changes", list}}, io);
        return;
    }
    for (const manifest::change& it : changes)
        io.out << it.to_string() << "\n";
    io.out << changes.size() << " changes against "
           << (version > 0 ? absl::StrCat("version ", version) : "an empty configuration") << "\n";
}

} // namespace

exit_status diff(const std::string& path, const common::endpoint& platform, environment& env,
                 console& io) {
    const manifest_file file = read_manifest(path);
    if (!file.problems.empty())
        return report_problems(file.problems, io);

    const auto table = env.open_table(platform);
    const auto current = configuration::read_newer(*table, 0);
    if (!current && current.error() == common::error::malformed)
        return report_error(exit_status::refused, "the current configuration cannot be parsed", io);
    if (!current && current.error() != common::error::not_found)
        return report_platform_error(current.error(), io);

    const bool present = current && current.value().has_value();
    const manifest::versioned_manifest before =
        present ? *current.value() : manifest::versioned_manifest();
    print_changes(manifest::difference(before.value, file.value), before.version, io);
    return exit_status::ok;
}

exit_status apply(const apply_options& options, environment& env, console& io) {
    const manifest_file file = read_manifest(options.path);
    if (!file.problems.empty())
        return report_problems(file.problems, io);
    return applier(options, env, io).run(file);
}

} // namespace savorytrail::control
