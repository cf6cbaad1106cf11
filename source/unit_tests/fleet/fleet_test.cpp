// Stateful fuzzing of a fleet of entries, checked by an oracle. RC_PARAMS sets the seed and the
// number of sequences; scripts/fuzz runs longer and prints how to replay a failure.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "unit_tests/fleet/fleet_simulation.h"

namespace rc {

template <>
struct Arbitrary<savorytrail::fleet::command> {
    static Gen<savorytrail::fleet::command> arbitrary() {
        using savorytrail::fleet::action;
        using savorytrail::fleet::command;
        constexpr int operands = 60;
        const auto other = static_cast<int>(action::count_of_actions);
        // Work is generated more often than faults, so that sequences make progress.
        const auto work = gen::element(action::submit, action::resubmit, action::run_task,
                                       action::run_task, action::finish_task, action::finish_task,
                                       action::query, action::deliver, action::advance);
        const auto any = gen::map(gen::inRange(0, other), [](int n) { return action(n); });
        return gen::build<command>(
            gen::set(&command::kind, gen::weightedOneOf<action>({{6, work}, {3, any}})),
            gen::set(&command::a, gen::inRange(0, operands)),
            gen::set(&command::b, gen::inRange(0, operands)),
            gen::set(&command::c, gen::inRange(0, operands)));
    }
};

} // namespace rc

namespace savorytrail::fleet {
namespace {

// Totals of all sequences of this run.
tally& totals() {
    static tally it;
    return it;
}

void add(const tally& it) {
    tally& all = totals();
    all.starts += it.starts;
    all.complete += it.complete;
    all.failed += it.failed;
    all.refused += it.refused;
    all.home_dead += it.home_dead;
    all.expired += it.expired;
    all.inherited += it.inherited;
    all.claimed_again += it.claimed_again;
}

RC_GTEST_PROP(fleet, keeps_every_rule_under_faults, (const std::vector<command>& commands)) {
    fleet_simulation it;
    for (const auto& each : commands) {
        it.execute(each);
        if (!it.model().violation().empty())
            RC_FAIL(it.model().violation());
    }
    add(it.model().counts());
}

// Runs after the property, since gtest keeps the order of this file.
TEST(fleet_run, reached_every_kind_of_answer) {
    const tally& all = totals();
    std::cout << "starts " << all.starts << ", complete " << all.complete << ", failed "
              << all.failed << ", refused " << all.refused << ", home_dead " << all.home_dead
              << ", expired " << all.expired << ", inherited " << all.inherited
              << ", keys claimed again " << all.claimed_again << "\n";
    for (const int n : {all.starts, all.complete, all.failed, all.refused, all.home_dead,
                        all.expired, all.inherited, all.claimed_again})
        EXPECT_GT(n, 100);
}

} // namespace
} // namespace savorytrail::fleet
