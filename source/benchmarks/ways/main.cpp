// Measures the latency that at-most-once semantics add to a job whose tasks take no time:
// home-bound ids (Way A) at the home and at another entry, and client keys (Way B), each with the
// table up, slow and down.
#include <algorithm>
#include <cstdio>
#include <functional>
#include <thread>
#include <vector>

#include "benchmarks/ways/timed_table.h"
#include "core/claim/claimer.h"
#include "core/peer/client.h"
#include "core/peer/forward_service.h"
#include "core/peer/server.h"
#include "core/routing/keyed_router.h"
#include "core/routing/router.h"

#include <grpcpp/impl/codegen/service_type.h>

namespace savorytrail::benchmarks {
namespace {

constexpr int callers = 32;
constexpr common::milliseconds pause{20}; // of a caller between jobs
constexpr common::milliseconds duration{4000};
constexpr common::milliseconds wait{5000};
constexpr common::milliseconds claim_bound{3000};
constexpr int ids_per_call = 100;

// One entry whose executors answer immediately.
struct entry {
    entry(const std::string& name, platform::table& table)
        : ids(name, clock, random, std::chrono::minutes(10)), dispatcher("standard", {100000}),
          home(ids, ledger, dispatcher, clock, {},
               [this](const home::outgoing_task& task) {
                   home.task_done(task, {submission::task_end::answered, {200, "ok"}, {}});
               }),
          successors(table, clock), router(name, handler, peers, directory, successors),
          claimer(table, clock, {}),
          keyed(ids, claimer, router, claim_bound, home::home_limits().default_deadline) {
        auto it = std::make_shared<manifest::manifest>();
        it->teams.push_back({"t", 0});
        it->upstreams.push_back({"u", std::chrono::seconds(1), 0, {}});
        home.apply(it);
        const manifest::executor executor{"e", "d", "w", {"10.0.0.1", 1}, 1000, 1000};
        home.set_executors("u", {{executor, executor.slots}});
    }

    common::system_clock clock;
    common::secure_random random;
    submission::issuer ids;
    submission::ledger ledger{{10000000, std::size_t{1} << 32}};
    dispatch::dispatcher dispatcher;
    home::home home;
    membership::directory directory;
    handover::inherited_submissions inherited{clock, {}};
    handover::successor_registry successors;
    peer::channel_pool channels;
    peer::client peers{channels, std::chrono::seconds(1)};
    routing::home_handler handler{home, ids, inherited};
    routing::router router;
    claim::claimer claimer;
    routing::keyed_router keyed;
};

job::job make_job() {
    job::job it{"t", "u", std::chrono::seconds(10), {}};
    it.tasks.resize(10, {"/book", std::string(100, 'x'), false, common::milliseconds(100)});
    return it;
}

struct outcome {
    std::vector<double> added_ms; // of complete jobs
    int unavailable = 0;
};

double percentile(const std::vector<double>& sorted, double share) {
    if (sorted.empty())
        return 0;
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

using submit_function = std::function<job::answer(int caller, int n)>;

outcome run_caller(int caller, const submit_function& submit) {
    outcome it;
    const auto end = std::chrono::steady_clock::now() + duration;
    for (int n = 0; std::chrono::steady_clock::now() < end; n++) {
        const auto start = std::chrono::steady_clock::now();
        const auto answer = submit(caller, n);
        const std::chrono::duration<double, std::milli> elapsed =
            std::chrono::steady_clock::now() - start;
        if (answer.state == job::answer_state::complete)
            it.added_ms.push_back(elapsed.count());
        else
            it.unavailable++;
        std::this_thread::sleep_for(pause);
    }
    return it;
}

void measure(const char* way, const table_condition& condition, const timed_table& table,
             const submit_function& submit) {
    const int before = table.transactions();
    std::vector<outcome> parts(callers);
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; i++)
        threads.emplace_back([&, i] { parts[i] = run_caller(i, submit); });
    for (auto& it : threads)
        it.join();

    outcome all;
    for (const auto& it : parts) {
        all.added_ms.insert(all.added_ms.end(), it.added_ms.begin(), it.added_ms.end());
        all.unavailable += it.unavailable;
    }
    std::sort(all.added_ms.begin(), all.added_ms.end());
    const int writes = table.transactions() - before;
    const double jobs = std::max<double>(1, static_cast<double>(all.added_ms.size()));
    std::printf("%-24s %-6s %8zu %8d %9.2f %9.2f %9.2f %12.3f\n", way, condition.name,
                all.added_ms.size(), all.unavailable, percentile(all.added_ms, 0.5),
                percentile(all.added_ms, 0.9), percentile(all.added_ms, 0.99), writes / jobs);
}

void measure_all(const table_condition& condition) {
    timed_table table(condition);
    entry home("zilina-1", table);
    entry other("zilina-2", table);
    const auto address = common::parse_endpoint("127.84.0.1:7312").value();
    const auto service = peer::make_forward_service(home.handler);
    peer::server server;
    if (server.start(address, {service.get()}))
        return;
    platform::vm vm{"zilina-1", platform::vm_role::entry, "d", "r",
                    address,    platform::vm_state::live};
    other.directory.update({1, true, {vm}});

    std::vector<std::vector<submission::submission_id>> ids(callers);
    const auto next_id = [&](int caller) {
        auto& own = ids[caller];
        if (own.empty())
            own = home.ids.issue(ids_per_call);
        const auto id = own.back();
        own.pop_back();
        return id;
    };
    const auto by_id = [&](entry& at, int caller) {
        return at.router.route({peer::request_kind::submit, next_id(caller), make_job(), wait, {}})
            .answer;
    };
    measure("A, at the home", condition, table,
            [&](int caller, int) { return by_id(home, caller); });
    measure("A, at another entry", condition, table,
            [&](int caller, int) { return by_id(other, caller); });
    measure("B, client keys", condition, table, [&](int caller, int n) {
        const std::string key = std::to_string(caller) + "-" + std::to_string(n);
        return home.keyed.submit(key, make_job(), wait).result.answer;
    });
}

} // namespace
} // namespace savorytrail::benchmarks

int main() {
    using savorytrail::benchmarks::table_condition;
    std::printf("%-24s %-6s %8s %8s %9s %9s %9s %12s\n", "way", "table", "complete", "unavail.",
                "p50 ms", "p90 ms", "p99 ms", "writes/job");
    for (const auto& it : {table_condition{"up", std::chrono::milliseconds(5), false},
                           table_condition{"slow", std::chrono::milliseconds(500), false},
                           table_condition{"down", std::chrono::milliseconds(0), true}})
        savorytrail::benchmarks::measure_all(it);
    return 0;
}
