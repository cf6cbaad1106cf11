// Assembly of an entry's deciding code.
#include "unit_tests/fleet/machine.h"

namespace savorytrail::fleet {
namespace {

constexpr submission::ledger_limits ledger_bounds{40, 1 << 20};
constexpr std::size_t max_queued_tasks = 12;

std::vector<dispatch::executor_share> own_executors(const std::string& vm) {
    std::vector<dispatch::executor_share> shares;
    for (const char* suffix : {"-e0", "-e1"}) {
        const manifest::executor it{vm + suffix, "d", "w", {"10.0.0.1", 1}, 2, 2};
        shares.push_back({it, it.slots});
    }
    return shares;
}

} // namespace

machine::machine(const machine_parts& parts, const common::clock& clock)
    : name(parts.name), serial(parts.serial), m_clock(clock, parts.clock_shift),
      m_random(parts.serial), ids(name, m_clock, m_random, id_lifetime), ledger(ledger_bounds),
      dispatcher("standard", {max_queued_tasks}),
      home(ids, ledger, dispatcher, m_clock, {common::milliseconds(400)}, parts.sink),
      inherited(m_clock, {1 << 20}), successors(*parts.table, m_clock),
      handler(home, ids, inherited), router(name, handler, *parts.peers, directory, successors) {
    set_manifest(true);
}

void machine::tick() {
    home.tick();
    inherited.forget_expired();
    successors.forget_expired();
}

void machine::set_manifest(bool with_upstream) {
    auto it = std::make_shared<manifest::manifest>();
    it->teams.push_back({"t", 0});
    if (with_upstream)
        it->upstreams.push_back({"u", common::milliseconds(100), 0, {}});
    home.apply(it);
    home.set_executors("u", with_upstream ? own_executors(name)
                                          : std::vector<dispatch::executor_share>());
}

std::vector<handover::home_snapshot> machine::close() {
    is_closed = true;
    inherited.close();
    home.close();
    auto snapshots = inherited.snapshots();
    snapshots.push_back(handover::make_snapshot(ids, ledger, m_clock.now()));
    return snapshots;
}

} // namespace savorytrail::fleet
