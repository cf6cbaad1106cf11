// Applying a manifest: the compare-and-swap, then the wait until entries report the version.
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

constexpr milliseconds settle_time{10000};      // for an answer that was lost
constexpr milliseconds settle_pause{250};       // between attempts
constexpr milliseconds poll_pause{200};         // between questions to entries
constexpr milliseconds progress_interval{1000}; // between progress lines

// Writes a line to `err` at most once in an interval, the first after one has passed.
class progress {
public:
    progress(environment& outside, console& io)
        : m_outside(outside), m_io(io), m_last(outside.now()) {}

    void say(const std::string& line) {
        if (m_outside.now() - m_last < progress_interval)
            return;
        m_last = m_outside.now();
        m_io.err << line << std::endl;
    }

private:
    environment& m_outside;
    console& m_io;
    common::time_point m_last;
};

std::string random_change_id(environment& outside) {
    return absl::StrFormat("%016x%016x", outside.random(), outside.random());
}

json to_json(const configuration::change& it) {
    return {{"version", it.version},
            {"change_id", it.change_id},
            {"author", it.author},
            {"applied_at", it.applied_at}};
}

std::string describe(const configuration::change& it) {
    if (it.version == 0)
        return "there is no configuration yet";
    return absl::StrCat("version ", it.version, " by ", it.author, " at ", it.applied_at,
                        " (change ", it.change_id, ") is in place");
}

// How far an accepted version has come.
struct spread {
    std::size_t in_force = 0;
    std::vector<entry_status> entries;
};

spread ask_spread(const apply_options& options, std::uint64_t version, environment& outside) {
    spread result{0, ask_entries(options.entries, outside)};
    result.in_force =
        std::count_if(result.entries.begin(), result.entries.end(), [&](const entry_status& it) {
            return !it.failure && it.configuration_version >= version;
        });
    return result;
}

spread wait_for_spread(const apply_options& options, std::uint64_t version, environment& outside,
                       console& io) {
    const common::time_point deadline = outside.now() + options.wait;
    progress lines(outside, io);
    for (;;) {
        spread seen = ask_spread(options, version, outside);
        if (seen.in_force == options.entries.size() || outside.now() >= deadline)
            return seen;
        lines.say(
            absl::StrCat("waiting: in force on ", seen.in_force, " of ", options.entries.size()));
        outside.pause(poll_pause);
    }
}

void print_behind(const spread& seen, std::uint64_t version, std::ostream& err) {
    for (const entry_status& it : seen.entries) {
        if (it.failure)
            err << "  " << it.address.to_string() << ": " << it.failure.message() << "\n";
        else if (it.configuration_version < version)
            err << "  " << it.vm << " at " << it.address.to_string() << ": version "
                << it.configuration_version << "\n";
    }
}

class applier {
public:
    applier(const apply_options& options, environment& outside, console& io)
        : m_options(options), m_outside(outside), m_io(io),
          m_change_id(options.change_id.empty() ? random_change_id(outside) : options.change_id) {}

    exit_status run(const manifest_file& file) {
        const auto table = m_outside.open_table(m_options.platform);
        const auto outcome = configuration::apply(*table, proposal(file), retry_gate());
        if (!outcome)
            return report_platform_error(outcome.error(), m_io);
        return std::visit([this](const auto& it) { return report(it); }, outcome.value());
    }

private:
    configuration::proposal proposal(const manifest_file& file) const {
        return {file.text, m_change_id, m_options.author, m_outside.utc_now(),
                m_options.expected_version};
    }

    configuration::retry_gate retry_gate() {
        const common::time_point deadline = m_outside.now() + settle_time;
        return [this, deadline, lines = progress(m_outside, m_io)]() mutable {
            if (m_outside.now() >= deadline)
                return false;
            lines.say("no answer from the platform; asking again");
            m_outside.pause(settle_pause);
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
            return report_unknown_spread(it);
        return report_spread(it, wait_for_spread(m_options, it.version, m_outside, m_io));
    }

    exit_status report_unknown_spread(const configuration::accepted& it) {
        if (m_io.json)
            print_json(accepted_json(it), m_io);
        else
            m_io.out << "not asked where it is in force: no --entries given\n";
        return exit_status::ok;
    }

    exit_status report_spread(const configuration::accepted& it, const spread& seen) {
        const std::size_t asked = m_options.entries.size();
        if (m_io.json) {
            json line = accepted_json(it);
            line["in_force"] = seen.in_force;
            line["asked"] = asked;
            print_json(line, m_io);
        } else {
            m_io.out << "in force on " << seen.in_force << " of " << asked << "\n";
            print_behind(seen, it.version, m_io.err);
        }
        return seen.in_force == asked ? exit_status::ok : exit_status::not_in_force;
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
                            absl::StrCat("change id ", m_change_id, " stands for another text: ",
                                         describe(it.owner), "; nothing changed"),
                            m_io);
    }

    exit_status report(const configuration::unsettled& it) {
        return report_error(exit_status::unreachable,
                            absl::StrCat("not known whether the change was accepted (",
                                         it.cause.message(), "); to find out, apply it again with ",
                                         "--change-id ", m_change_id),
                            m_io);
    }

    json accepted_json(const configuration::accepted& it) const {
        return {{"outcome", "accepted"},
                {"version", it.version},
                {"current_version", it.current_version},
                {"change_id", m_change_id}};
    }

    const apply_options& m_options;
    environment& m_outside;
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

exit_status diff(const std::string& path, const common::endpoint& platform, environment& outside,
                 console& io) {
    const manifest_file file = read_manifest(path);
    if (!file.problems.empty())
        return report_problems(file.problems, io);

    const auto table = outside.open_table(platform);
    const auto current = configuration::read_newer(*table, 0);
    if (!current && current.error() == common::error::malformed)
        return report_error(exit_status::refused, "the configuration in place cannot be read", io);
    if (!current && current.error() != common::error::not_found)
        return report_platform_error(current.error(), io);

    const bool present = current && current.value().has_value();
    const manifest::versioned_manifest before =
        present ? *current.value() : manifest::versioned_manifest();
    print_changes(manifest::difference(before.value, file.value), before.version, io);
    return exit_status::ok;
}

exit_status apply(const apply_options& options, environment& outside, console& io) {
    const manifest_file file = read_manifest(options.path);
    if (!file.problems.empty())
        return report_problems(file.problems, io);
    return applier(options, outside, io).run(file);
}

} // namespace savorytrail::control
