// Assembles an entry's decision logic from the production classes.
#include "unit_tests/fleet/entry_instance.h"

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

entry_instance::entry_instance(const entry_dependencies& dependencies, const common::clock& clock)
    : name(dependencies.name), serial(dependencies.serial),
      m_clock(clock, dependencies.clock_shift), m_random(dependencies.serial),
      ids(name, m_clock, m_random, id_lifetime), ledger(ledger_bounds),
      dispatcher("standard", {max_queued_tasks}),
      home(ids, ledger, dispatcher, m_clock, {common::milliseconds(400)}, dependencies.sink),
      inherited(m_clock, {1 << 20}), successors(*dependencies.table, m_clock),
      handler(home, ids, inherited),
      router(name, handler, *dependencies.peers, directory, successors) {
    set_manifest(true);
}

void entry_instance::tick() {
    home.tick();
    inherited.forget_expired();
    successors.forget_expired();
}

void entry_instance::set_manifest(bool with_upstream) {
    auto it = std::make_shared<manifest::manifest>();
    it->teams.push_back({"t", 0});
    if (with_upstream)
        it->upstreams.push_back({"u", common::milliseconds(100), 0, {}});
    home.apply(it);
    home.set_executors("u", with_upstream ? own_executors(name)
                                          : std::vector<dispatch::executor_share>());
}

std::vector<handover::home_snapshot> entry_instance::close() {
    is_closed = true;
    inherited.close();
    home.close();
    auto snapshots = inherited.snapshots();
    snapshots.push_back(handover::make_snapshot(ids, ledger, m_clock.now()));
    return snapshots;
}

} // namespace savorytrail::fleet
