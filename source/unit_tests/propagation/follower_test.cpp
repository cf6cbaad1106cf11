// Tests of followers over loopback with a fake platform: what an entry fetches from its peers.
#include "core/propagation/follower.h"

#include <grpcpp/impl/codegen/service_type.h>
#include <gtest/gtest.h>

#include "core/configuration/record.h"
#include "core/peer/server.h"
#include "core/propagation/service.h"
#include "unit_tests/platform/fake_platform.h"

namespace savorytrail::propagation {
namespace {

using common::milliseconds;
using platform::vm_role;
using platform::vm_state;

constexpr milliseconds timeout{10000};
constexpr const char* manifest_text = R"(
[[teams]]
name = "brana"
[[upstreams]]
name = "booking"
[[upstreams.executors]]
name = "x1"
failure_domain = "d"
address = "127.22.9.1:8000"
)";

class unavailable_platform final : public platform::table, public platform::live_list {
public:
    common::result<std::optional<platform::row>> read_newer(const std::string&,
                                                            std::uint64_t) override {
        return make_error_code(common::error::unavailable);
    }
    common::result<std::vector<platform::row>> list(const std::string&) override {
        return make_error_code(common::error::unavailable);
    }
    common::result<platform::commit_outcome>
    commit(const std::vector<platform::operation>&) override {
        return make_error_code(common::error::unavailable);
    }
    common::result<platform::vm_changes> read_newer(std::uint64_t) override {
        m_list_reads++;
        return make_error_code(common::error::unavailable);
    }
    int list_reads() const { return m_list_reads; }

private:
    std::atomic<int> m_list_reads{0};
};

common::endpoint address_of(int index) {
    return {"127.22.1." + std::to_string(index), 9100};
}

platform::vm vm_of(int index) {
    return {"e" + std::to_string(index), vm_role::entry, "d", "r",
            address_of(index),           vm_state::live};
}

// The membership part of an entry.
class peer_entry {
public:
    peer_entry(int index, platform::table& table, platform::live_list& list,
               std::vector<common::endpoint> seeds = {})
        : m_view({"e" + std::to_string(index), "d", "r"}, limits()),
          m_service(make_service(configuration, directory)), m_address(address_of(index)),
          m_follower({{1, std::uint64_t(index)},
                      m_address,
                      std::move(seeds),
                      milliseconds(100),
                      milliseconds(500)},
                     {table, list, m_channels, configuration, directory, m_view, m_clock},
                     [](membership::heartbeat&) {}) {}

    ~peer_entry() { m_server.stop(milliseconds(0)); }

    void start() {
        ASSERT_FALSE(m_server.start(m_address, {m_service.get()}));
        ASSERT_FALSE(m_follower.start());
    }

    void offer(std::uint64_t version) {
        configuration.offer({version, manifest_text, manifest::parse(manifest_text).value()});
    }

    bool has_caught_up() const { return m_follower.has_caught_up(); }

    configuration::holder configuration;
    membership::directory directory;

private:
    static membership::view_limits limits() {
        membership::view_limits it;
        it.heartbeat = milliseconds(100);
        it.suspect_after = milliseconds(300);
        return it;
    }

    common::system_clock m_clock;
    peer::channel_pool m_channels;
    membership::view m_view;
    std::unique_ptr<grpc::Service> m_service;
    const common::endpoint m_address;
    peer::server m_server;
    follower m_follower;
};

template <typename Condition>
bool eventually(const Condition& condition) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}

class followers : public testing::Test {
protected:
    void set_list(int entries) {
        for (int i = 1; i <= entries; i++)
            m_list.set(vm_of(i));
    }

    platform::fake_table m_table;
    platform::fake_live_list m_list;
    unavailable_platform m_unavailable;
};

TEST_F(followers, a_new_entry_adopts_the_highest_version_of_its_peers_during_an_outage) {
    set_list(3);
    peer_entry older(1, m_unavailable, m_list);
    peer_entry newer(2, m_unavailable, m_list);
    older.offer(3);
    newer.offer(7);
    peer_entry fresh(3, m_unavailable, m_unavailable,
                     {address_of(1), address_of(2), address_of(77)});
    // The peers do not start their followers, so that their versions stay different.
    peer::server of_older;
    peer::server of_newer;
    const auto older_service = make_service(older.configuration, older.directory);
    const auto newer_service = make_service(newer.configuration, newer.directory);
    ASSERT_FALSE(of_older.start(address_of(1), {older_service.get()}));
    ASSERT_FALSE(of_newer.start(address_of(2), {newer_service.get()}));
    fresh.start();
    ASSERT_TRUE(eventually([&] { return fresh.has_caught_up(); }));
    EXPECT_EQ(fresh.configuration.version(), 7U);
    of_newer.stop(milliseconds(0));
    of_older.stop(milliseconds(0));
}

TEST_F(followers, an_entry_without_reachable_peers_has_not_caught_up) {
    peer_entry fresh(3, m_unavailable, m_unavailable, {address_of(77)});
    fresh.offer(1); // as from a stale source
    fresh.start();
    std::this_thread::sleep_for(milliseconds(1000));
    EXPECT_FALSE(fresh.has_caught_up());
}

TEST_F(followers, changes_reach_an_entry_partitioned_from_the_platform) {
    set_list(2);
    peer_entry reader(1, m_table, m_list);
    peer_entry partitioned(2, m_unavailable, m_unavailable, {address_of(1)});
    reader.start();
    partitioned.start();
    reader.offer(1);
    ASSERT_TRUE(eventually([&] { return partitioned.configuration.version() == 1; }));
    reader.offer(2);
    m_list.set({"x1", vm_role::upstream, "d", "r", std::nullopt, vm_state::leaving});
    EXPECT_TRUE(eventually([&] { return partitioned.configuration.version() == 2; }));
    EXPECT_TRUE(eventually([&] { return !partitioned.directory.takes_new_work("x1"); }));
    EXPECT_EQ(partitioned.directory.own_revision(), 0U);
}

TEST_F(followers, a_version_never_decreases) {
    set_list(2);
    peer_entry one(1, m_unavailable, m_list);
    peer_entry other(2, m_unavailable, m_list);
    one.offer(9);
    other.offer(4);
    one.start();
    other.start();
    EXPECT_TRUE(eventually([&] { return other.configuration.version() == 9; }));
    EXPECT_EQ(one.configuration.version(), 9U);
}

// Runs for 20 polls. The entry would read once in each of them if failed reads of the list were not
// counted as failures.
TEST_F(followers, an_entry_alone_in_an_outage_reads_once_in_each_poll) {
    peer_entry alone(1, m_unavailable, m_unavailable);
    alone.start();
    std::this_thread::sleep_for(milliseconds(2000));
    EXPECT_LE(m_unavailable.list_reads(), 21);
    EXPECT_GE(m_unavailable.list_reads(), 2);
}

} // namespace
} // namespace savorytrail::propagation
