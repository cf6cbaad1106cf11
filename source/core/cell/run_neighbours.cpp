#include "core/cell/run_neighbours.h"

#include <algorithm>

namespace savorytrail::cell {
namespace {

// A neighbour that was present for less than a tenth can be neglected, and one that was for three
// quarters has nearly its whole effect.
constexpr int brief_percent = 10;
constexpr int lasting_percent = 75;

} // namespace

void run_neighbours::begin(tracked_run& it, kind_key beside, common::time_point now) {
    const auto found = std::find_if(it.neighbours.begin(), it.neighbours.end(),
                                    [&](const auto& n) { return n.kind == beside; });
    if (found == it.neighbours.end()) {
        it.neighbours.push_back({beside, 1, now, {}});
        return;
    }
    if (found->runs++ == 0) {
        found->since = now;
    }
}

void run_neighbours::end(tracked_run& it, kind_key beside, common::time_point now) {
    const auto found = std::find_if(it.neighbours.begin(), it.neighbours.end(),
                                    [&](const auto& n) { return n.kind == beside; });
    if (found != it.neighbours.end() && --found->runs == 0) {
        found->total += std::max(std::min(now, it.quarter) - found->since, {});
    }
}

void run_neighbours::add(const std::string& executor, const work::run_key& run, kind_key kind,
                         const expectation& expected, common::time_point now) {
    auto& runs = m_executors[executor];
    tracked_run added{run, kind, expected, now, now + expected.duration / 4, {}};
    for (auto& it : runs) {
        begin(it, kind, now);
        begin(added, it.kind, now);
    }
    runs.push_back(std::move(added));
}

void run_neighbours::remove(const std::string& executor, const work::run_key& run,
                            common::time_point now) {
    const auto found = m_executors.find(executor);
    if (found == m_executors.end()) {
        return;
    }
    auto& runs = found->second;
    const auto it =
        std::find_if(runs.begin(), runs.end(), [&](const auto& r) { return r.key == run; });
    if (it == runs.end()) {
        return;
    }
    const auto kind = it->kind;
    runs.erase(it);
    for (auto& other : runs) {
        end(other, kind, now);
    }
    if (runs.empty()) {
        m_executors.erase(found);
    }
}

run_neighbours::observation run_neighbours::observe(const std::string& executor,
                                                    const work::run_key& run,
                                                    common::time_point now) const {
    observation result;
    const auto found = m_executors.find(executor);
    if (found == m_executors.end()) {
        return result;
    }
    for (const auto& it : found->second) {
        if (it.key != run) {
            continue;
        }
        result.kind = it.kind;
        result.expected = it.expected;
        result.has_passed_quarter = now >= it.quarter;
        const auto length = it.quarter - it.started;
        for (auto n : it.neighbours) {
            if (n.runs > 0) {
                n.total += std::max(std::min(now, it.quarter) - n.since, {});
            }
            if (n.total * 100 >= length * lasting_percent) {
                result.neighbours.push_back(n.kind);
            } else if (n.total * 100 >= length * brief_percent) {
                result.brief_neighbours.push_back(n.kind);
            }
        }
    }
    return result;
}

std::vector<kind_key> run_neighbours::kinds_on(const std::string& executor) const {
    std::vector<kind_key> kinds;
    if (const auto it = m_executors.find(executor); it != m_executors.end()) {
        for (const auto& run : it->second) {
            kinds.push_back(run.kind);
        }
    }
    return kinds;
}

} // namespace savorytrail::cell
