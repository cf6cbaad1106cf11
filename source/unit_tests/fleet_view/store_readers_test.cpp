// Tests of which entries read the platform's store.
#include "core/fleet/store_readers.h"

#include <gtest/gtest.h>

#include "core/fleet/link_choice.h"

namespace savorytrail::fleet {
namespace {

using common::milliseconds;

// This entry is the smallest of its domain, so that all others go before it.
class reading : public testing::Test {
protected:
    void receive(const std::string& name, std::optional<milliseconds> store_age) {
        heartbeat it;
        it.sender = {name, "d", "10.0.0.9", 1, 500};
        it.status.sequence = m_sequence++;
        it.status.store_age = store_age;
        it.heard_recipient = milliseconds(10);
        m_view.receive(it, "10.0.0.9", m_now);
        choose_links(m_view, {}, false, m_now);
    }

    bool should_read() { return m_readers.should_read(m_view, m_now); }

    common::time_point m_now = common::time_point(std::chrono::hours(1));
    std::uint64_t m_sequence = 1;
    view m_view{{"self", "d", "10.0.0.1", 5, 120}, 7000, {}, m_now};
    store_readers m_readers;
};

TEST_F(reading, an_entry_that_is_alone_reads) {
    EXPECT_TRUE(should_read());
}

TEST_F(reading, the_third_entry_does_not_read) {
    receive("a", milliseconds(100));
    EXPECT_TRUE(should_read());
    receive("b", milliseconds(100));
    EXPECT_FALSE(should_read());
}

TEST_F(reading, an_entry_reads_when_the_readers_are_cut_off_from_the_store) {
    receive("a", milliseconds(100));
    receive("b", milliseconds(100));
    EXPECT_FALSE(should_read());
    receive("b", milliseconds(2600));
    EXPECT_FALSE(should_read()) << "it waits for those before it in line";
    m_now += milliseconds(50);
    EXPECT_TRUE(should_read());
}

TEST_F(reading, an_entry_reads_when_a_reader_is_lost) {
    receive("a", milliseconds(100));
    receive("b", milliseconds(100));
    EXPECT_FALSE(should_read());
    m_now += milliseconds(1500);
    receive("a", milliseconds(100));
    should_read();
    m_now += milliseconds(50);
    EXPECT_TRUE(should_read());
}

// Load pattern: the store is away, and hundreds of entries would ask it at once.
TEST_F(reading, entries_that_do_not_read_begin_one_after_the_other) {
    for (const auto* name : {"a", "b", "c", "e", "f"}) {
        receive(name, std::nullopt);
    }
    EXPECT_FALSE(should_read());
    m_now += milliseconds(160);
    EXPECT_FALSE(should_read());
    m_now += milliseconds(60);
    EXPECT_TRUE(should_read());
}

} // namespace
} // namespace savorytrail::fleet
