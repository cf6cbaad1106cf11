// Tests of how old the knowledge of a replicated document gets: of one entry, and of a fleet whose
// readers of the platform's store fail.
#include "core/fleet/freshness.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "core/fleet/store_readers.h"
#include "unit_tests/fleet_view/entry_network.h"

namespace savorytrail::fleet {
namespace {

using common::milliseconds;
using common::time_point;

constexpr freshness_limits some_limits{milliseconds(2300), milliseconds(200), milliseconds(400),
                                       milliseconds(1000)};

// Guards against knowledge that counts as current for ever once it was confirmed, and against
// checks that hammer a store that does not answer.
TEST(freshness, is_checked_when_it_ages_and_less_often_while_the_check_fails) {
    freshness it(some_limits, 0);
    auto now = time_point(std::chrono::hours(1));
    EXPECT_TRUE(it.begin_check_if_due(now)) << "it was never confirmed";
    it.confirm(now);
    now += some_limits.max_age;
    EXPECT_TRUE(it.is_current(now));
    EXPECT_FALSE(it.begin_check_if_due(now));
    now += milliseconds(1);
    EXPECT_FALSE(it.is_current(now));
    int checks = 0;
    for (const auto end = now + milliseconds(5000); now < end; now += milliseconds(40)) {
        checks += it.begin_check_if_due(now) ? 1 : 0;
    }
    EXPECT_EQ(checks, 6); // after 0, 400, 1200, 2200 ms and so on
    it.confirm(now);
    EXPECT_FALSE(it.begin_check_if_due(now));
    it.confirm(now - milliseconds(500));
    EXPECT_EQ(it.age(now), milliseconds(0)) << "older news confirm nothing";
}

struct spread_case {
    const char* name;
    int entries_per_domain;
    milliseconds bound; // from a new version until all entries have it
    double loss;        // share of the heartbeats

    friend std::ostream& operator<<(std::ostream& out, const spread_case& it) {
        return out << it.name;
    }
};

// A store with one version of a document, and entries that learn it from the store and from each
// other. A fetch from an entry takes one step of the network.
class a_fleet : public testing::TestWithParam<spread_case> {
protected:
    a_fleet() {
        for (int i = 0; i < m_network.size(); i++) {
            m_entries.push_back({freshness(m_limits, m_network.view_of(i).self_key())});
        }
        m_network.set_hooks([this](int i, entry_status& status) { tell(i, status); },
                            [this](int i, const heartbeat& it) { learn(i, it); });
        run(milliseconds(6000));
        m_network.set_loss(GetParam().loss);
        run(milliseconds(4000));
    }

    void run(milliseconds duration) {
        for (const auto end = m_network.now() + duration; m_network.now() < end;) {
            m_network.run(entry_network::step);
            for (int i = 0; i < m_network.size(); i++) {
                ask_store(i);
            }
            note_ages();
        }
    }

    void note_ages() {
        for (const auto& it : m_entries) {
            if (it.reaches_store) {
                m_oldest = std::max(m_oldest, *it.document.age(m_network.now()));
            }
        }
    }

    std::vector<int> readers() const {
        std::vector<int> list;
        for (int i = 0; i < m_network.size(); i++) {
            if (m_entries[i].is_reading) {
                list.push_back(i);
            }
        }
        return list;
    }

    void cut_from_store(const std::vector<int>& entries) {
        for (const int i : entries) {
            m_entries[i].reaches_store = false;
        }
    }

    void publish() { m_version++; }

    // Entries that reach the store and do not have the newest version.
    std::vector<int> late() const {
        std::vector<int> list;
        for (int i = 0; i < m_network.size(); i++) {
            if (m_entries[i].reaches_store && m_entries[i].version != m_version) {
                list.push_back(i);
            }
        }
        return list;
    }

    entry_network m_network{{3, GetParam().entries_per_domain, 117, 0, 1}};
    const freshness_limits m_limits{GetParam().bound - milliseconds(700)};
    int m_checks = 0;
    milliseconds m_oldest{0}; // what an entry knew that reaches the store

private:
    struct entry {
        freshness document;
        store_readers choice = store_readers();
        bool is_reading = true;
        bool reaches_store = true;
        std::uint64_t version = 1;
        time_point polled_at = {};
        std::optional<time_point> answered_at = {};
    };

    // The store answers a poll at once when there is a newer version, else after this time.
    const milliseconds m_poll_wait{
        std::min(m_limits.max_age - milliseconds(200), milliseconds(1500))};

    void ask_store(int i) {
        auto& it = m_entries[i];
        const auto now = m_network.now();
        it.is_reading = it.choice.should_read(m_network.view_of(i), now);
        const bool is_answered =
            it.is_reading && (it.version != m_version || now - it.polled_at >= m_poll_wait);
        const bool checks = it.document.begin_check_if_due(now);
        m_checks += checks ? 1 : 0;
        if ((is_answered || checks) && it.reaches_store) {
            it.version = m_version;
            it.document.confirm(now);
            it.polled_at = now;
            it.answered_at = now;
        }
    }

    void tell(int i, entry_status& status) {
        const auto& it = m_entries[i];
        status.configuration_version = it.version;
        status.configuration_age = it.document.age(m_network.now());
        if (it.is_reading && it.answered_at) {
            status.store_age =
                std::chrono::duration_cast<milliseconds>(m_network.now() - *it.answered_at);
        }
    }

    void learn(int i, const heartbeat& from) {
        auto& it = m_entries[i];
        if (from.status.configuration_version < it.version || !from.status.configuration_age) {
            return;
        }
        it.version = from.status.configuration_version;
        it.document.confirm(m_network.now() - entry_network::step - *from.status.configuration_age);
    }

    std::uint64_t m_version = 1;
    std::vector<entry> m_entries;
};

// Load pattern: a fleet at rest, where checks of each entry would cost a call to the store each.
TEST_P(a_fleet, rarely_checks_while_it_is_sound) {
    m_checks = 0;
    run(milliseconds(20000));
    EXPECT_LE(m_checks, m_network.size() / 10);
}

// Guards against a version that nobody asks for until after the bound: all readers lose the store.
TEST_P(a_fleet, has_a_new_version_in_time_when_all_readers_lose_the_store) {
    cut_from_store(readers());
    run(milliseconds(100));
    publish();
    m_oldest = milliseconds(0);
    run(GetParam().bound);
    EXPECT_THAT(late(), testing::IsEmpty());
    EXPECT_LE(m_oldest, m_limits.max_age + m_limits.spread + entry_network::step);
}

// Guards against the time-outs of one takeover after the other adding up.
TEST_P(a_fleet, has_a_new_version_in_time_when_those_that_take_over_lose_the_store_too) {
    cut_from_store(readers());
    run(milliseconds(100));
    publish();
    const auto first_part = m_limits.max_age - milliseconds(50);
    run(first_part);
    cut_from_store(readers());
    run(GetParam().bound - first_part);
    EXPECT_THAT(late(), testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(sizes, a_fleet,
                         testing::Values(spread_case{"of_3_a_domain", 3, milliseconds(2000), 0},
                                         spread_case{"of_14_a_domain", 14, milliseconds(3000), 0},
                                         spread_case{"of_14_a_domain_with_loss", 14,
                                                     milliseconds(3000), 0.1},
                                         spread_case{"of_50_a_domain", 50, milliseconds(4000), 0}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace savorytrail::fleet
