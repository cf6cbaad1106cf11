// Tests of loans over gRPC between two agents in one process, each with its own loopback server.
#include "core/loan/agent.h"

#include <grpcpp/impl/codegen/service_type.h>
#include <gtest/gtest.h>

#include "core/peer/server.h"

namespace savorytrail::loan {
namespace {

using common::milliseconds;

constexpr std::uint32_t slots = 10;

std::shared_ptr<const manifest::manifest> make_manifest() {
    auto it = std::make_shared<manifest::manifest>();
    manifest::upstream upstream;
    upstream.name = "u";
    upstream.task_timeout = milliseconds(1000);
    manifest::executor executor;
    executor.name = "e";
    executor.vm = "executor-vm";
    executor.slots = slots;
    upstream.executors.push_back(executor);
    it->upstreams.push_back(upstream);
    return it;
}

// The loan part of an entry. Task starts are counted, not sent.
struct entry {
    entry(const std::string& vm, std::uint64_t incarnation, const common::endpoint& self,
          const common::endpoint& other)
        : loans(dispatcher, channels, clock, {vm, {1, incarnation}, milliseconds(1000)},
                {[this](const std::vector<dispatch::task_start>& starts) {
                     const std::lock_guard lock(mutex);
                     started += starts.size();
                     changed.notify_all();
                 },
                 [other](const std::string&) { return std::optional(other); },
                 [](const std::string&) { return true; }}),
          service(loans.make_service()) {
        loans.apply(make_manifest());
        EXPECT_FALSE(server.start(self, {service.get()}));
        loans.start();
    }

    ~entry() {
        loans.stop();
        server.stop(milliseconds(0));
    }

    bool wait_for_starts(std::size_t n) {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, std::chrono::seconds(10), [&] { return started >= n; });
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::size_t started = 0; // guarded by mutex
    common::system_clock clock;
    dispatch::dispatcher dispatcher{"standard", {}};
    peer::channel_pool channels;
    agent loans;
    std::unique_ptr<grpc::Service> service;
    peer::server server;
};

TEST(agent, borrows_from_a_peer_over_the_network) {
    const common::endpoint lender_address{"127.73.0.1", 17300};
    const common::endpoint borrower_address{"127.73.0.2", 17300};
    entry lender("lender", 1, lender_address, borrower_address);
    entry borrower("borrower", 2, borrower_address, lender_address);
    std::vector<dispatch::task_start> starts;
    const auto manifest = make_manifest();
    lender.dispatcher.set_executors("u", {{manifest->upstreams[0].executors[0], slots}},
                                    lender.clock.now(), starts);
    ASSERT_EQ(lender.loans.own_offers(), (std::vector<offer>{{"lender", "u", slots, false}}));

    borrower.loans.set_offers({{"lender", "u", std::nullopt, true}});
    dispatch::job_descriptor job;
    job.upstream = "u";
    job.arrived = borrower.clock.now();
    job.deadline = job.arrived + std::chrono::hours(1);
    job.expected.assign(6, milliseconds(100));
    ASSERT_TRUE(borrower.dispatcher.submit(job, job.arrived, starts).is_accepted);
    EXPECT_TRUE(borrower.wait_for_starts(6));
    EXPECT_EQ(lender.loans.lent_slots(), 6U);
    EXPECT_EQ(borrower.loans.borrowed_slots(), 6U);
}

TEST(agent, refuses_an_upstream_that_the_manifest_does_not_name) {
    dispatch::dispatcher dispatcher{"standard", {}};
    peer::channel_pool channels;
    common::system_clock clock;
    agent it(dispatcher, channels, clock, {"vm", {1, 1}, milliseconds(1000)},
             {[](const std::vector<dispatch::task_start>&) {},
              [](const std::string&) { return std::optional<common::endpoint>(); },
              [](const std::string&) { return true; }});
    it.apply(make_manifest());
    EXPECT_TRUE(it.handle({"b", {2, 2}, 1, "u", 1, {}, {}}));
    EXPECT_FALSE(it.handle({"b", {2, 2}, 2, "other", 1, {}, {}}));
}

} // namespace
} // namespace savorytrail::loan
