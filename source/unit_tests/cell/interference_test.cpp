// Tests what interference concludes from synthetic runs, without executors.
#include "core/cell/interference.h"

#include <cmath>
#include <gtest/gtest.h>
#include <optional>
#include <random>

namespace savorytrail::cell {
namespace {

using common::milliseconds;
using common::time_point;

constexpr int executors = 24;

// Runs of a few kinds on executors with one to three places, amid wrong estimates, long tails, and
// executors whose speed is known with a mistake.
class synthetic_cell {
public:
    explicit synthetic_cell(std::uint64_t seed) : m_random(seed) {
        std::uniform_real_distribution<double> mistake(std::log(0.8), std::log(1.2));
        for (int i = 0; i < executors; i++) {
            bias.push_back(mistake(m_random));
        }
    }

    double normal() { return m_normal(m_random); }
    bool chance(double p) { return std::bernoulli_distribution(p)(m_random); }
    kind_key any_kind(int kinds) {
        return 1 + std::uniform_int_distribution<kind_key>(0, kinds - 1)(m_random);
    }
    std::string executor(int i) const { return "e" + std::to_string(i); }
    int any_executor() { return std::uniform_int_distribution<int>(0, executors - 1)(m_random); }

    // Observes a run that neighbours slow down by `effect`; returns the changes.
    std::vector<pair_change> run(interference& of, kind_key kind,
                                 const std::vector<kind_key>& neighbours, double effect, int at,
                                 const std::vector<kind_key>& brief = {}) {
        now += milliseconds(7);
        const double noise = estimate_error * normal() + (chance(tails) ? std::log(7.0) : 0.0);
        return of.observe(
            executor(at),
            {kind, {milliseconds(100), milliseconds(100), 1}, true, neighbours, brief},
            noise + bias.at(at) + effect, now);
    }
    std::vector<pair_change> run(interference& of, kind_key kind,
                                 const std::vector<kind_key>& neighbours, double effect) {
        return run(of, kind, neighbours, effect, any_executor());
    }

    std::vector<double> bias; // ln of the mistake, by executor
    double estimate_error = 0.4;
    double tails = 0.03;
    time_point now{std::chrono::hours(1)};

private:
    std::mt19937_64 m_random;
    std::normal_distribution<double> m_normal;
};

int suspicions(const std::vector<pair_change>& changes) {
    int n = 0;
    for (const auto& it : changes) {
        n += it.is_suspected ? 1 : 0;
    }
    return n;
}

bool is_suspected(const interference& it, kind_key kind, kind_key neighbour) {
    for (const auto& pair : it.to_share()) {
        if (pair.kind == kind && pair.neighbour == neighbour) {
            return true;
        }
    }
    return false;
}

struct null_case {
    const char* name;
    // Neighbours of a run: none, one or two of any kinds.
    double beside;        // share of runs with a neighbour
    bool is_concentrated; // a kind runs mostly on a few executors of its own
    double wave;          // ln; all runs get slower by this in waves, together with more neighbours
};

class runs_without_interference : public testing::TestWithParam<null_case> {
public:
    ~runs_without_interference() override = default;
};

// Guards against false alarms, which would spoil placement in deployments without interference: at
// most one pair in a hundred is ever suspected within 100,000 runs.
TEST_P(runs_without_interference, raise_no_suspicion) {
    constexpr int kinds = 4;
    constexpr int cells = 25;
    int suspected = 0;
    for (int seed = 0; seed < cells; seed++) {
        interference learnt;
        synthetic_cell cell(seed);
        for (int i = 0; i < 100000; i++) {
            const double phase = GetParam().wave == 0 ? 0 : std::sin(i / 2000.0);
            const auto kind = cell.any_kind(kinds);
            std::vector<kind_key> neighbours;
            if (cell.chance(GetParam().beside * (1 + phase) / (GetParam().wave == 0 ? 1 : 2))) {
                neighbours.push_back(cell.any_kind(kinds));
                if (const auto second = cell.any_kind(kinds);
                    second != neighbours[0] && cell.chance(0.3)) {
                    neighbours.push_back(second);
                }
            }
            int at = cell.any_executor();
            if (GetParam().is_concentrated && !neighbours.empty() && cell.chance(0.8)) {
                at = static_cast<int>((kind * 7 + neighbours[0] * 3) % 4);
            }
            suspected +=
                suspicions(cell.run(learnt, kind, neighbours, GetParam().wave * phase, at));
        }
    }
    std::cerr << suspected << " of " << kinds * kinds * cells << " pairs suspected\n";
    EXPECT_LE(suspected, kinds * kinds * cells / 100);
}

INSTANTIATE_TEST_SUITE_P(interference, runs_without_interference,
                         testing::Values(null_case{"mixed_kinds", 0.5, false, 0},
                                         null_case{"kinds_on_executors_of_their_own", 0.5, true, 0},
                                         null_case{"slower_while_there_is_more_load", 0.9, false,
                                                   0.1}),
                         [](const auto& it) { return it.param.name; });

struct slowdown_case {
    const char* name;
    double factor;
    double reverse; // of the neighbour beside the kind
    int runs_with;  // within which the pair is found
};

class a_slowdown : public testing::TestWithParam<slowdown_case> {
public:
    ~a_slowdown() override = default;
};

// Guards against interference that stays unnoticed: of 20 cells, 18 find the pair within the number
// of runs that docs/design/interference.md states, and nothing else.
TEST_P(a_slowdown, is_found_within_the_stated_number_of_runs) {
    int found = 0;
    int wrong = 0;
    std::vector<int> needed;
    for (int seed = 0; seed < 20; seed++) {
        interference learnt;
        synthetic_cell cell(100 + seed);
        int with = 0;
        for (; with < GetParam().runs_with && !is_suspected(learnt, 1, 2);) {
            const bool is_beside = cell.chance(0.3);
            const kind_key kind = cell.chance(0.5) ? 1 : 2;
            const kind_key other = is_beside ? 3 - kind : 3;
            const double factor = kind == 1 ? GetParam().factor : GetParam().reverse;
            with += is_beside && kind == 1 ? 1 : 0;
            cell.run(learnt, kind, {other}, is_beside ? std::log(factor) : 0);
        }
        needed.push_back(with);
        found += is_suspected(learnt, 1, 2) ? 1 : 0;
        wrong += is_suspected(learnt, 1, 3) || is_suspected(learnt, 2, 3) ||
                         (GetParam().reverse == 1 && is_suspected(learnt, 2, 1))
                     ? 1
                     : 0;
    }
    std::sort(needed.begin(), needed.end());
    std::cerr << "needed: median " << needed[10] << ", ninth tenth " << needed[17] << ", most "
              << needed[19] << "\n";
    EXPECT_GE(found, 18);
    EXPECT_EQ(wrong, 0);
}

INSTANTIATE_TEST_SUITE_P(interference, a_slowdown,
                         testing::Values(slowdown_case{"of_1_1_both_ways", 1.1, 1.1, 4500},
                                         slowdown_case{"of_1_1_one_way", 1.1, 1, 4500},
                                         slowdown_case{"of_1_5_both_ways", 1.5, 1.5, 150},
                                         slowdown_case{"of_1_5_one_way", 1.5, 1, 150},
                                         slowdown_case{"of_3_both_ways", 3, 3, 80},
                                         slowdown_case{"of_3_one_way", 3, 1, 80}),
                         [](const auto& it) { return it.param.name; });

// Runs of kind 1 beside `neighbours`, and as many without.
void run_pairs(synthetic_cell& cell, interference& learnt, int runs,
               const std::vector<kind_key>& neighbours, double effect) {
    for (int i = 0; i < runs; i++) {
        cell.run(learnt, 1, neighbours, effect);
        cell.run(learnt, 1, {}, 0);
    }
}

struct neighbour_mix {
    const char* name;
    double together; // probability that 3 is there when 2 is, and the reverse
    double effect_2; // factors
    double effect_3;
};

class two_neighbours : public testing::TestWithParam<neighbour_mix> {
public:
    ~two_neighbours() override = default;
};

// Guards against blaming a kind that merely comes together with one that interferes, and against
// missing one of two that both do.
TEST_P(two_neighbours, are_told_apart) {
    int wrong = 0;
    for (int seed = 0; seed < 20; seed++) {
        interference learnt;
        synthetic_cell cell(200 + seed);
        for (int i = 0; i < 20000; i++) {
            std::vector<kind_key> beside;
            double effect = 0;
            const bool has_2 = cell.chance(0.4);
            const bool has_3 =
                cell.chance(has_2 ? GetParam().together : (1 - GetParam().together) * 0.4 / 0.6);
            if (has_2) {
                beside.push_back(2);
                effect += std::log(GetParam().effect_2);
            }
            if (has_3) {
                beside.push_back(3);
                effect += std::log(GetParam().effect_3);
            }
            cell.run(learnt, 1, beside, effect);
        }
        wrong += is_suspected(learnt, 1, 2) != (GetParam().effect_2 > 1) ? 1 : 0;
        wrong += is_suspected(learnt, 1, 3) != (GetParam().effect_3 > 1) ? 1 : 0;
    }
    EXPECT_EQ(wrong, 0);
}

INSTANTIATE_TEST_SUITE_P(
    interference, two_neighbours,
    testing::Values(neighbour_mix{"independent_and_one_slows", 0.4, 1.5, 1},
                    neighbour_mix{"mostly_together_and_one_slows", 0.8, 1.5, 1},
                    neighbour_mix{"mostly_together_and_one_slows_much", 0.8, 3, 1},
                    neighbour_mix{"mostly_together_and_both_slow", 0.8, 1.5, 1.5},
                    neighbour_mix{"independent_and_both_slow", 0.4, 1.3, 2}),
    [](const auto& it) { return it.param.name; });

struct ceasing_case {
    const char* name;
    double factor;
    int forgotten_within; // runs with the neighbour
};

class a_pair_that_stops_interfering : public testing::TestWithParam<ceasing_case> {
public:
    ~a_pair_that_stops_interfering() override = default;
};

// Guards against a suspicion that outlives its cause, such as an image that was mended under the
// same name.
TEST_P(a_pair_that_stops_interfering, is_forgotten) {
    std::vector<int> needed;
    for (int seed = 0; seed < 20; seed++) {
        interference learnt;
        synthetic_cell cell(300 + seed);
        run_pairs(cell, learnt, 8000, {2}, std::log(GetParam().factor));
        ASSERT_TRUE(is_suspected(learnt, 1, 2)) << seed;
        int with = 0;
        for (; with < 20000 && is_suspected(learnt, 1, 2); with++) {
            run_pairs(cell, learnt, 1, {2}, 0);
        }
        needed.push_back(with);
    }
    std::sort(needed.begin(), needed.end());
    std::cerr << "needed: median " << needed[10] << ", most " << needed[19] << "\n";
    EXPECT_LE(needed[17], GetParam().forgotten_within);
}

INSTANTIATE_TEST_SUITE_P(interference, a_pair_that_stops_interfering,
                         testing::Values(ceasing_case{"after_1_1", 1.1, 12000},
                                         ceasing_case{"after_1_5", 1.5, 400},
                                         ceasing_case{"after_3", 3, 150}),
                         [](const auto& it) { return it.param.name; });

// Guards against a suspicion that flickers: one that holds is not cleared, nor forgotten.
TEST(interference, is_kept_as_long_as_it_lasts) {
    for (const double factor : {1.1, 1.5, 3.0}) {
        interference learnt;
        synthetic_cell cell(17);
        int cleared = 0;
        for (int i = 0; i < 100000; i++) {
            const bool is_beside = cell.chance(0.3);
            for (const auto& it : cell.run(learnt, 1, {is_beside ? kind_key{2} : kind_key{3}},
                                           is_beside ? std::log(factor) : 0)) {
                cleared += it.is_suspected ? 0 : 1;
            }
        }
        EXPECT_EQ(cleared, 0) << factor;
        ASSERT_EQ(learnt.to_share().size(), 1U) << factor;
        EXPECT_NEAR(learnt.to_share()[0].log_slowdown, std::log(factor), 0.05) << factor;
    }
}

// Guards against a suspicion that placement keeps from ever being tested again.
TEST(interference, is_tried_again_when_the_kinds_were_kept_apart_for_long) {
    interference learnt;
    synthetic_cell cell(18);
    run_pairs(cell, learnt, 500, {2}, std::log(2));
    ASSERT_EQ(learnt.suspected(), 1U);
    EXPECT_TRUE(learnt.tick(cell.now + std::chrono::minutes(9)).empty());
    const auto changes = learnt.tick(cell.now + std::chrono::minutes(11));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_FALSE(changes[0].is_suspected);
    EXPECT_TRUE(learnt.to_share().empty());
    EXPECT_FALSE(learnt.knows_pairs());
}

// Load pattern: callers that give every job an image of its own, or rename a queue again and again.
TEST(interference, keeps_bounded_state_however_many_kinds_come) {
    interference learnt;
    synthetic_cell cell(19);
    run_pairs(cell, learnt, 500, {2}, std::log(2));
    ASSERT_EQ(learnt.suspected(), 1U);
    for (kind_key kind = 10; kind < 3000; kind++) {
        for (int i = 0; i < 110; i++) {
            cell.run(learnt, kind, {kind + 1, kind + 2}, 0);
        }
    }
    EXPECT_EQ(learnt.kinds(), interference::max_kinds);
    EXPECT_EQ(learnt.pairs(), interference::max_pairs);
    EXPECT_EQ(learnt.suspected(), 0U);
    EXPECT_TRUE(learnt.costs_beside(1, cell.now).empty());
    // The evicted kind is learnt anew.
    run_pairs(cell, learnt, 500, {2}, std::log(2));
    EXPECT_TRUE(is_suspected(learnt, 1, 2));
}

// A run as the dispatcher tells of it; times in ms since the start.
struct told_run {
    int number;
    const char* queue;
    int start;
    int end;
};

struct beside_case {
    const char* name;
    std::vector<told_run> others;
    std::vector<std::string> neighbours;
    std::vector<std::string> brief;
};

class a_run : public testing::TestWithParam<beside_case> {
public:
    ~a_run() override = default;
};

// Guards against attributing a slowdown to what was there for a moment only, and against neighbours
// that are counted because the run took long. The run begins at 100 ms and is expected to take 400.
// It really ends at 500 ms.
TEST_P(a_run, has_the_neighbours_of_the_first_quarter_of_its_expected_time) {
    run_neighbours runs;
    const auto key = [](int number) { return work::run_key{{"j", 0, 0, number}, 1}; };
    const auto at = [](int ms) { return time_point(milliseconds(ms)); };
    const auto kind = [](const std::string& queue) { return task_kind{queue, ""}.key(); };
    for (int ms = 0; ms < 500; ms++) {
        for (const auto& it : GetParam().others) {
            if (it.start == ms) {
                runs.add("e", key(it.number), kind(it.queue),
                         {milliseconds(100), milliseconds(100), 1}, at(ms));
            }
            if (it.end == ms) {
                runs.remove("e", key(it.number), at(ms));
            }
        }
        if (ms == 100) {
            runs.add("e", key(0), kind("own"), {milliseconds(400), milliseconds(400), 1}, at(ms));
        }
    }
    const auto seen = runs.observe("e", key(0), at(500));
    EXPECT_TRUE(seen.has_passed_quarter);
    EXPECT_FALSE(runs.observe("e", key(0), at(199)).has_passed_quarter);
    EXPECT_EQ(seen.kind, kind("own"));
    const auto keys = [&](const std::vector<std::string>& queues) {
        std::vector<kind_key> list;
        list.reserve(queues.size());
        for (const auto& it : queues) {
            list.push_back(kind(it));
        }
        return list;
    };
    EXPECT_EQ(seen.neighbours, keys(GetParam().neighbours));
    EXPECT_EQ(seen.brief_neighbours, keys(GetParam().brief));
    EXPECT_EQ(runs.observe("other", key(0), at(200)).kind, 0U);
    runs.remove("e", key(0), at(200));
    EXPECT_EQ(runs.observe("e", key(0), at(200)).kind, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    interference, a_run,
    testing::Values(
        beside_case{"alone", {}, {}, {}}, beside_case{"ended_before", {{1, "a", 0, 90}}, {}, {}},
        beside_case{"there_before_and_after", {{1, "a", 0, 900}}, {"a"}, {}},
        beside_case{"ended_with_the_first_quarter", {{1, "a", 0, 200}}, {"a"}, {}},
        beside_case{"began_with_the_second_quarter", {{1, "a", 200, 900}}, {}, {}},
        beside_case{"for_three_quarters", {{1, "a", 125, 900}}, {"a"}, {}},
        beside_case{"for_less_than_three_quarters", {{1, "a", 126, 900}}, {}, {"a"}},
        beside_case{"for_a_moment", {{1, "a", 0, 105}}, {}, {}},
        beside_case{"two_of_a_kind_in_turn", {{1, "a", 0, 140}, {2, "a", 150, 190}}, {"a"}, {}},
        beside_case{"two_of_a_kind_at_once", {{1, "a", 0, 140}, {2, "a", 0, 140}}, {}, {"a"}},
        beside_case{"two_kinds", {{1, "a", 0, 900}, {2, "b", 120, 900}}, {"a", "b"}, {}},
        beside_case{"its_own_kind", {{1, "own", 0, 900}}, {"own"}, {}}),
    [](const auto& it) { return it.param.name; });

struct received_case {
    const char* name;
    fleet::interfering_pair pair;
    std::size_t ignored;
};

class a_pair_told_by_a_peer : public testing::TestWithParam<received_case> {
public:
    ~a_pair_told_by_a_peer() override = default;
};

// Guards against a peer that sends nonsense.
TEST_P(a_pair_told_by_a_peer, is_ignored_and_counted_if_its_values_are_bad) {
    interference learnt;
    const time_point now{std::chrono::hours(1)};
    EXPECT_EQ(learnt.receive({GetParam().pair}, now), GetParam().ignored);
    EXPECT_EQ(learnt.priors(), 1 - GetParam().ignored);
    EXPECT_EQ(learnt.costs_beside(1, now).size(), 1 - GetParam().ignored);
    EXPECT_TRUE(learnt.to_share().empty()); // not passed on
}

INSTANTIATE_TEST_SUITE_P(interference, a_pair_told_by_a_peer,
                         testing::Values(received_case{"sound", {1, 2, 0.4, 50}, 0},
                                         received_case{"no_kind", {0, 2, 0.4, 50}, 1},
                                         received_case{"no_neighbour", {1, 0, 0.4, 50}, 1},
                                         received_case{"no_weight", {1, 2, 0.4, 0}, 1},
                                         received_case{"a_speedup", {1, 2, -0.4, 50}, 1},
                                         received_case{"above_eight_times", {1, 2, 2.2, 50}, 1},
                                         received_case{"infinite", {1, 2, INFINITY, 50}, 1},
                                         received_case{"not_a_number", {1, 2, NAN, 50}, 1}),
                         [](const auto& it) { return it.param.name; });

TEST(interference, takes_no_more_pairs_from_a_message_than_peers_send) {
    interference learnt;
    std::vector<fleet::interfering_pair> pairs(1000, {1, 2, 0.4, 50});
    for (std::size_t i = 0; i < pairs.size(); i++) {
        pairs[i].kind += i;
    }
    EXPECT_EQ(learnt.receive(pairs, time_point(std::chrono::hours(1))), 1000U - 8);
    EXPECT_EQ(learnt.priors(), 8U);
}

TEST(interference, told_by_a_peer_ages_unless_it_is_told_again) {
    interference learnt;
    time_point now{std::chrono::hours(1)};
    learnt.receive({{1, 2, 0.4, 50}}, now);
    EXPECT_FALSE(learnt.costs_beside(1, now + std::chrono::seconds(60)).empty());
    EXPECT_FALSE(learnt.costs_beside(2, now + std::chrono::seconds(60)).empty());
    EXPECT_TRUE(learnt.costs_beside(3, now).empty());
    learnt.tick(now + std::chrono::minutes(5));
    EXPECT_TRUE(learnt.costs_beside(1, now + std::chrono::minutes(5)).empty());
    EXPECT_FALSE(learnt.knows_pairs());
}

// Guards against a peer that lies, or whose executors differ, and against its stale word.
TEST(interference, told_by_a_peer_is_overridden_by_own_observations) {
    interference learnt;
    synthetic_cell cell(20);
    for (int i = 0; i < 1500; i++) {
        learnt.receive({{1, 2, 0.4, 4000000000}}, cell.now);
        run_pairs(cell, learnt, 1, {2}, 0);
    }
    EXPECT_TRUE(learnt.costs_beside(1, cell.now).empty());
    EXPECT_TRUE(learnt.to_share().empty());
}

// Nothing may be sent between entries without suspicion.
TEST(interference, shares_the_strongest_of_its_own_pairs_only) {
    interference learnt;
    synthetic_cell cell(21);
    learnt.receive({{50, 51, 0.9, 1000}}, cell.now);
    EXPECT_TRUE(learnt.to_share().empty());
    for (kind_key neighbour = 2; neighbour < 14; neighbour++) {
        for (int i = 0; i < 400; i++) {
            cell.run(learnt, neighbour, {1}, 0.05 * static_cast<double>(neighbour) + 0.3);
            cell.run(learnt, neighbour, {}, 0);
        }
    }
    EXPECT_EQ(learnt.suspected(), 12U);
    const auto shared = learnt.to_share();
    ASSERT_EQ(shared.size(), 8U);
    for (std::size_t i = 1; i < shared.size(); i++) {
        EXPECT_GE(shared[i - 1].log_slowdown, shared[i].log_slowdown);
    }
}

// Guards against a suspicion that only the queue's prediction causes: two images share it, and it
// falls as one of them is kept apart from what slows it down. The other one then seems to take
// longer, just when its runs are mostly beside each other.
TEST(interference, does_not_blame_a_kind_for_the_other_image_of_its_queue_getting_faster) {
    constexpr milliseconds estimate(60);
    const task_kind loud{"q", "loud"};
    const task_kind quiet{"q", "quiet"};
    for (int seed = 0; seed < 20; seed++) {
        interference learnt;
        duration_model of_queue;
        std::mt19937_64 random(seed);
        std::normal_distribution<double> noise(0, 0.1);
        time_point now{std::chrono::hours(1)};
        int number = 0;
        std::vector<pair_change> changes;
        const auto run_together = [&](const task_kind& a, const task_kind& b) {
            const std::string executor = "e" + std::to_string(number % 4);
            const std::array<task_kind, 2> kinds{a, b};
            std::array<work::run_key, 2> keys;
            for (std::size_t i = 0; i < kinds.size(); i++) {
                keys.at(i) = {{"j", 0, 0, number++}, 1};
                learnt.note_start(executor, keys.at(i), kinds.at(i),
                                  {of_queue.predicted_duration("q", estimate), estimate, 1}, now);
            }
            now += milliseconds(200);
            for (std::size_t i = 0; i < kinds.size(); i++) {
                const bool is_slowed =
                    kinds.at(i).image == "quiet" && kinds.at(1 - i).image == "loud";
                const milliseconds took(
                    std::lround(60 * (is_slowed ? 3 : 1) * std::exp(noise(random))));
                of_queue.add("q", estimate, took);
                for (auto& it : learnt.note_success(executor, keys.at(i), took, now)) {
                    changes.push_back(std::move(it));
                }
            }
            for (const auto& it : keys) {
                learnt.note_end(executor, it, now);
            }
        };
        const auto run = [&](int rounds, int percent_together) {
            for (int i = 0; i < rounds; i++) {
                if (static_cast<int>(random() % 100) < percent_together) {
                    run_together(loud, quiet);
                } else {
                    run_together(loud, loud);
                    run_together(quiet, quiet);
                }
            }
        };
        run(400, 90);
        run(400, 5);
        ASSERT_FALSE(changes.empty()) << seed;
        for (const auto& it : changes) {
            EXPECT_TRUE(it.kind == "q/quiet" && it.neighbour == "q/loud")
                << seed << " " << it.kind << " beside " << it.neighbour << " " << it.slowdown;
        }
    }
}

TEST(a_kind, is_the_queue_and_the_image) {
    EXPECT_EQ((task_kind{"q", "i"}.key()), (task_kind{"q", "i"}.key()));
    EXPECT_NE((task_kind{"q", "i"}.key()), (task_kind{"q", ""}.key()));
    EXPECT_NE((task_kind{"q", "i"}.key()), (task_kind{"p", "i"}.key()));
    EXPECT_EQ((task_kind{"q", ""}.to_string()), "q");
    EXPECT_LT((task_kind{std::string(1000, 'q'), std::string(1000, 'i')}.to_string().size()), 100U);
}

} // namespace
} // namespace savorytrail::cell
