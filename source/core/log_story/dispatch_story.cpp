#include "core/log_story/dispatch_story.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"
#include "core/common/error.h"

namespace savorytrail::log_story {
namespace {

// Clocks of two VMs may differ by about this much.
constexpr std::int64_t clock_margin_us = 50'000;

std::int64_t to_ms(std::int64_t us) {
    return us / 1000;
}

// The details of job_received, job_dropped and pass_lost begin with "ENTRY: ".
std::string entry_in_detail(const log_event& it) {
    const auto detail = it.field("detail");
    return detail.substr(0, detail.find(':'));
}

std::string rest_of_detail(const log_event& it) {
    const auto detail = it.field("detail");
    const auto colon = detail.find(": ");
    return colon == std::string::npos ? detail : detail.substr(colon + 2);
}

std::string event_with(const std::string& name, const std::string& detail) {
    return detail.empty() ? name : absl::StrCat(name, " (", detail, ")");
}

bool is_start(const log_event& it) {
    return it.is("tasks_started") || it.is("task_started");
}

// The dispatcher has done with the job, but for runs that are still to be stopped.
bool is_close(const log_event& it) {
    return it.is("job_succeeded") || it.is("job_failed") || it.is("job_given_up") ||
           it.is("job_abandoned");
}

bool passes_to(const log_event& it, const std::string& dispatcher) {
    return it.is("job_passed") && it.field("detail") == dispatcher;
}

// The entry that passed the job to the dispatcher last before the time; the dispatcher itself, if
// it took the job from the caller; empty if neither is logged.
std::string find_passing_entry(const std::vector<log_event>& events, const std::string& dispatcher,
                               std::int64_t at_us) {
    std::string entry;
    for (const auto& it : events) {
        if (it.at_us > at_us + clock_margin_us) {
            break;
        }
        if (passes_to(it, dispatcher) || (it.is("job_taken") && it.node == dispatcher)) {
            entry = it.node;
        }
    }
    return entry;
}

// Reads the lines of one dispatcher.
class dispatcher_reader {
public:
    dispatcher_reader(const std::vector<log_event>& events, std::string dispatcher)
        : m_events(events), m_dispatcher(std::move(dispatcher)) {}

    std::vector<dispatch> read() {
        for (const auto& it : m_events) {
            if (it.node == m_dispatcher) {
                read(it);
            }
        }
        std::erase_if(m_found, [](const dispatch& it) { return !it.first_start_us; });
        return std::move(m_found);
    }

private:
    void read(const log_event& it) {
        if (it.is("job_received") && !m_is_open) {
            open(it, entry_in_detail(it));
        } else if (is_start(it)) {
            read_start(it);
        } else if (it.is("job_refused") && m_is_open && !m_found.back().first_start_us) {
            m_is_open = false;
        } else if (it.is("job_dropped") && m_is_open) {
            if (entry_in_detail(it) == m_found.back().entry) {
                note_learnt(it, rest_of_detail(it));
            }
        } else if (is_close(it) && m_is_open) {
            read_close(it);
        } else if (it.is("runs_stopped")) {
            read_stopped(it);
        }
    }

    void open(const log_event& it, std::string entry) {
        m_is_open = true;
        dispatch next;
        next.dispatcher = m_dispatcher;
        next.entry = std::move(entry);
        next.begin_us = it.at_us;
        m_found.push_back(std::move(next));
    }

    void read_start(const log_event& it) {
        if (!m_is_open) {
            open(it, find_passing_entry(m_events, m_dispatcher, it.at_us));
        }
        auto& first = m_found.back().first_start_us;
        first = first.value_or(it.at_us);
    }

    void note_learnt(const log_event& it, const std::string& detail) {
        auto& learnt = m_found.back().dispatcher_learnt;
        if (!learnt.at_us) {
            learnt = {it.at_us, event_with(it.name, detail)};
        }
    }

    void read_close(const log_event& it) {
        note_learnt(it, it.field("detail"));
        if (it.is("job_succeeded")) {
            m_found.back().runs_over = {it.at_us, it.name};
        }
        m_is_open = false;
    }

    void read_stopped(const log_event& it) {
        const auto closed = m_found.rbegin() + (m_is_open ? 1 : 0);
        const auto stopped = std::find_if(closed, m_found.rend(), [](const dispatch& candidate) {
            return candidate.first_start_us && !candidate.runs_over.at_us;
        });
        if (stopped != m_found.rend()) {
            stopped->runs_over = {it.at_us, event_with(it.name, it.field("detail"))};
        }
    }

    const std::vector<log_event>& m_events;
    const std::string m_dispatcher;
    std::vector<dispatch> m_found;
    bool m_is_open = false; // the last one is not closed yet
};

finding find_end_at_entry(const std::vector<log_event>& events, const dispatch& of) {
    for (const auto& it : events) {
        if (it.node != of.entry || it.at_us < of.begin_us - clock_margin_us) {
            continue;
        }
        if (it.is("pass_lost") && entry_in_detail(it) == of.dispatcher) {
            return {it.at_us, event_with(it.name, rest_of_detail(it))};
        }
        if (it.is("caller_left") || it.is("job_answered")) {
            return {it.at_us, event_with(it.name, it.field("detail"))};
        }
    }
    return {};
}

// The last attempt at the entry that had begun by then.
std::size_t find_attempt(const std::vector<attempt>& attempts, const dispatch& of) {
    std::size_t found = 0;
    for (std::size_t i = 0; i < attempts.size(); i++) {
        if (attempts[i].entry == of.entry &&
            attempts[i].begin_us <= of.begin_us + clock_margin_us) {
            found = i + 1;
        }
    }
    return found;
}

// The connection failed before anything was sent.
bool is_unreached(const log_event& it, const std::string& dispatcher) {
    const auto failed_with = [&it](common::error error) {
        return rest_of_detail(it).starts_with(make_error_code(error).message());
    };
    return it.is("pass_lost") && entry_in_detail(it) == dispatcher &&
           (failed_with(common::error::unreachable) ||
            failed_with(common::error::connection_refused));
}

// Dispatchers that the job was passed to and that logged nothing about it.
std::vector<dispatch> find_silent_dispatchers(const std::vector<log_event>& events) {
    std::vector<dispatch> found;
    for (const auto& pass : events) {
        if (!pass.is("job_passed")) {
            continue;
        }
        const auto to = pass.field("detail");
        const bool is_explained =
            std::any_of(events.begin(), events.end(), [&](const log_event& it) {
                return it.node == to || (it.node == pass.node && is_unreached(it, to));
            });
        if (is_explained) {
            continue;
        }
        dispatch silent;
        silent.dispatcher = to;
        silent.entry = pass.node;
        silent.begin_us = pass.at_us;
        found.push_back(std::move(silent));
    }
    return found;
}

std::optional<std::int64_t> find_restart(const std::vector<log_event>& incidents,
                                         const std::string& entry, std::int64_t after_us) {
    for (const auto& it : incidents) {
        if (it.is("started") && it.node == entry && it.at_us > after_us) {
            return it.at_us;
        }
    }
    return std::nullopt;
}

std::vector<std::string> find_missing(const dispatch& of, const std::vector<log_event>& events,
                                      const std::vector<log_event>& incidents) {
    std::vector<std::string> missing;
    if (!of.first_start_us) {
        missing.push_back(absl::StrCat(of.dispatcher, " logged nothing about the job"));
        return missing;
    }
    const bool has_entry_lines = std::any_of(
        events.begin(), events.end(), [&](const log_event& it) { return it.node == of.entry; });
    if (of.entry.empty()) {
        missing.push_back("which entry held the caller");
    } else if (!has_entry_lines) {
        missing.push_back(
            absl::StrCat(of.entry, ", which held the caller, logged nothing about it"));
    } else if (!of.entry_learnt.at_us) {
        missing.push_back(absl::StrCat("the end of the attempt at ", of.entry));
    }
    if (!of.dispatcher_learnt.at_us) {
        const auto restart = find_restart(incidents, of.dispatcher, of.begin_us);
        missing.push_back(
            restart ? absl::StrCat("the end of the attempt at ", of.dispatcher, ", which restarted")
                    : absl::StrCat("the end of the attempt at ", of.dispatcher));
    }
    if (!of.runs_over.at_us) {
        missing.push_back(absl::StrCat(
            "when the last run of ", of.dispatcher, " ended",
            of.dispatcher_learnt.at_us ? " (no runs_stopped; or none ran any more)" : ""));
    }
    return missing;
}

std::string state_verdict(const dispatch& first, const dispatch& second, succession& of) {
    const auto names = absl::StrCat(first.dispatcher, " and ", second.dispatcher);
    const auto start = *second.first_start_us;
    if (!of.gap_us) {
        const auto& learnt = first.dispatcher_learnt.at_us;
        return absl::StrCat(
            "runs of ", names, " may have overlapped: no line tells when the last run of ",
            first.dispatcher, " ended",
            learnt && *learnt > start
                ? absl::StrCat("; it worked on the job until ", to_ms(*learnt - start),
                               " ms after the first start at ", second.dispatcher)
                : "");
    }
    if (*of.gap_us >= 0) {
        return absl::StrCat("runs of ", names, " did not overlap: ", to_ms(*of.gap_us),
                            " ms between the last run and the first start");
    }
    const auto end =
        std::min(*first.runs_over.at_us, second.runs_over.at_us.value_or(*first.runs_over.at_us));
    return absl::StrCat("runs of ", names, " may have overlapped for ", to_ms(end - start),
                        " ms: the last run of ", first.dispatcher, " ended ", to_ms(-*of.gap_us),
                        " ms after the first start at ", second.dispatcher);
}

succession compare(const dispatch& first, const dispatch& second,
                   const std::vector<log_event>& incidents) {
    succession result;
    result.first = first.dispatcher;
    result.second = second.dispatcher;
    if (first.runs_over.at_us) {
        result.gap_us = *second.first_start_us - *first.runs_over.at_us;
    }
    result.verdict = state_verdict(first, second, result);
    result.missing.push_back("how the clocks of the two VMs differ");
    if (!result.gap_us || *result.gap_us < 0) {
        result.missing.push_back("which tasks ran where: the lines name executors only");
    }
    for (const auto& it : incidents) {
        const bool is_of_either = it.node == first.dispatcher || it.node == second.dispatcher;
        if (it.is("lines_suppressed") && is_of_either) {
            result.missing.push_back(
                absl::StrCat(it.field("lines"), " lines of ", it.field("of"), " at ", it.node));
        }
    }
    return result;
}

} // namespace

std::vector<dispatch> find_dispatches(const std::vector<log_event>& events,
                                      const std::vector<log_event>& incidents,
                                      const std::vector<attempt>& attempts) {
    std::set<std::string> nodes;
    for (const auto& it : events) {
        nodes.insert(it.node);
    }
    auto found = find_silent_dispatchers(events);
    for (const auto& node : nodes) {
        auto list = dispatcher_reader(events, node).read();
        std::move(list.begin(), list.end(), std::back_inserter(found));
    }
    for (auto& it : found) {
        it.attempt = find_attempt(attempts, it);
        it.entry_learnt = find_end_at_entry(events, it);
        it.missing = find_missing(it, events, incidents);
    }
    std::stable_sort(found.begin(), found.end(), [](const dispatch& a, const dispatch& b) {
        return a.first_start_us.value_or(a.begin_us) < b.first_start_us.value_or(b.begin_us);
    });
    return found;
}

std::vector<succession> find_successions(const std::vector<dispatch>& dispatches,
                                         const std::vector<log_event>& incidents) {
    std::vector<succession> found;
    for (auto first = dispatches.begin(); first != dispatches.end(); ++first) {
        for (auto second = std::next(first); second != dispatches.end(); ++second) {
            if (first->dispatcher != second->dispatcher && second->first_start_us) {
                found.push_back(compare(*first, *second, incidents));
            }
        }
    }
    return found;
}

} // namespace savorytrail::log_story
