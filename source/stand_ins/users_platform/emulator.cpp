#include "stand_ins/users_platform/emulator.h"

#include "platform/host_codec.h"
#include "platform/names.h"

namespace savorytrail::stand_ins {

using common::milliseconds;
namespace codec = platform_adapter;
namespace names = platform_adapter::names;

namespace {

constexpr milliseconds poll_interval{3}; // between checks for what a long poll waits for
constexpr const char* json_type = "application/json";

common::time_point now() {
    return std::chrono::steady_clock::now();
}

// The payload of a job gives the CPU and the duration of its tasks, and whether they fail:
// "CPU_MILLIS MILLISECONDS [fail]".
cell::simulated_executor::simulated_task parse_payload(const std::string& payload) {
    const auto space = payload.find(' ');
    return {{std::stoll(payload.substr(0, space)), 64, 0},
            milliseconds(std::stoll(payload.substr(space + 1))),
            payload.ends_with(" fail")};
}

} // namespace

struct emulator::executor_host {
    cell::simulated_executor simulated;
    std::unique_ptr<reactor::http_server> server;
};

emulator::emulator(options its_options) : m_options(std::move(its_options)) {}

emulator::~emulator() {
    m_loop.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void emulator::start() {
    m_store = std::make_unique<reactor::http_server>(
        m_loop, reactor::server_limits{},
        [this](const auto& request, const auto& to) { serve_store(request, to); });
    m_store->listen(store()).value();
    for (int i = 0; i < m_options.executors; i++) {
        work::executor_info info;
        info.id = "i-" + std::to_string(i);
        info.address = listed_executor(i);
        info.failure_domain = m_options.failure_domains[i % m_options.failure_domains.size()];
        info.upstream = "upstream";
        info.capacity = m_options.capacity;
        info.start_time_ms = 1;
        auto host = std::make_unique<executor_host>(
            executor_host{cell::simulated_executor(info, 0.99), nullptr});
        host->simulated.longest_lease_ms = m_options.longest_lease.count();
        host->server = std::make_unique<reactor::http_server>(
            m_loop, reactor::server_limits{},
            [this, at = host.get()](const auto& request, const auto& to) {
                serve_executor(*at, request, to);
            });
        host->server->listen(executor(i)).value();
        register_executor(*host);
        m_executors.push_back(std::move(host));
    }
    m_loop.every(milliseconds(1), [this] { advance(); });
    m_thread = std::thread([this] { m_loop.run(); });
}

void emulator::advance() {
    const std::lock_guard lock(m_mutex);
    std::map<work::task_id, int> running;
    for (const auto& it : m_executors) {
        it->simulated.advance(now());
        for (const auto& [task, run] : it->simulated.running()) {
            m_duplicate_runs += ++running[task] == 2 ? 1 : 0;
        }
    }
}

bool emulator::has_started(const std::string& job) {
    const std::lock_guard lock(m_mutex);
    return m_started_jobs.contains(job);
}

void emulator::crash_executor(int i) {
    const std::lock_guard lock(m_mutex);
    m_executors.at(i)->simulated.crash(now());
}

void emulator::set_executor_reachable(int i, bool is_reachable) {
    const std::lock_guard lock(m_mutex);
    m_executors.at(i)->simulated.is_reachable = is_reachable;
}

void emulator::set_executor_slowdown(int i, double slowdown) {
    const std::lock_guard lock(m_mutex);
    m_executors.at(i)->simulated.slowdown = slowdown;
}

std::size_t emulator::running() {
    const std::lock_guard lock(m_mutex);
    std::size_t n = 0;
    for (const auto& it : m_executors) {
        n += it->simulated.running().size();
    }
    return n;
}

void emulator::register_executor(const executor_host& host) {
    const auto& info = host.simulated.info();
    put(names::executor_table, info.id, codec::encode_executor(info));
}

void emulator::configure(std::uint64_t version) {
    const work::queue_settings queue{"q", "upstream", 0, 3, 1.6, milliseconds(60)};
    put(names::operator_table, names::configuration_key,
        codec::encode_configuration({version, {{"h.example", "/q/", queue, milliseconds(1500)}}}));
}

void emulator::put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = {value, ++m_version, false};
}

std::string emulator::rows_json(const std::string& table, std::uint64_t after) {
    codec::store_rows rows;
    rows.version = m_version;
    for (const auto& [key, it] : m_tables[table]) {
        if (it.version > after && (after != 0 || !it.is_deleted)) {
            rows.rows.push_back({key, it.value, it.version, it.is_deleted});
        }
    }
    return codec::encode_rows(table, rows);
}

void emulator::serve_store(const reactor::http_request& request, const answer& to) {
    if (m_is_store_down) {
        to->send({503, {}, "", json_type});
        return;
    }
    const std::lock_guard lock(m_mutex);
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto query = codec::decode_query(request.target);
    if (path == names::rows_get_path) {
        to->send({200, {}, rows_json(query.table, 0), json_type});
    } else if (path == names::rows_feed_path) {
        wait_for_rows(query.table, query.after, now() + query.wait, to);
    } else if (path == names::rows_write_path) {
        write_rows(request.body, to);
    } else {
        to->send({404, {}, "", json_type});
    }
}

void emulator::wait_for_rows(const std::string& table, std::uint64_t after,
                             common::time_point until, const answer& to) {
    const std::lock_guard lock(m_mutex);
    bool has_changes = false;
    for (const auto& [key, it] : m_tables[table]) {
        has_changes = has_changes || it.version > after;
    }
    if (!has_changes && now() < until) {
        m_loop.after(poll_interval, [=, this] { wait_for_rows(table, after, until, to); });
        return;
    }
    to->send({200, {}, rows_json(table, std::max<std::uint64_t>(after, 1)), json_type});
}

void emulator::write_rows(const std::string& body, const answer& to) {
    for (const auto& it : codec::decode_writes(body)) {
        if (it.value) {
            put(it.table, it.key, *it.value);
        } else {
            m_tables[it.table][it.key] = {"", ++m_version, true};
        }
    }
    to->send({200, {}, codec::encode_rows("", {{}, m_version, false}), json_type});
}

void emulator::serve_executor(executor_host& host, const reactor::http_request& request,
                              const answer& to) {
    const std::lock_guard lock(m_mutex);
    auto& simulated = host.simulated;
    if (!simulated.is_reachable) {
        m_unanswered.push_back(to); // keeps the connection open without a response
        return;
    }
    simulated.advance(now());
    const auto expected = reactor::find_header(request.headers, names::expected_executor_header);
    if (!expected.empty() && expected != simulated.info().id) {
        to->send({421, {}, "", json_type});
        return;
    }
    if (request.target == names::start_path) {
        const auto order = codec::decode_start(request.body);
        const auto reply = simulated.start(order, parse_payload(order.payload));
        if (reply.status == work::order_status::accepted) {
            m_starts++;
            m_started_jobs.insert(order.run.task.job);
            advance();
        }
        to->send(codec::encode_reply(reply));
    } else if (request.target == names::stop_path) {
        to->send(codec::encode_reply(simulated.stop(codec::decode_stop(request.body))));
    } else {
        const auto order = codec::decode_report_request(request.body);
        const auto [status, report] = simulated.report(order);
        if (status != work::order_status::accepted) {
            to->send(codec::encode_reply({status, report.clock_ms}));
            return;
        }
        wait_for_end(host, now() + order.wait, to);
    }
}

void emulator::wait_for_end(executor_host& host, common::time_point until, const answer& to) {
    const std::lock_guard lock(m_mutex);
    const auto report = host.simulated.current_report();
    if (report.ended.empty() && now() < until) {
        m_loop.after(poll_interval, [=, this, &host] { wait_for_end(host, until, to); });
        return;
    }
    to->send({200, {}, codec::encode_report(report), json_type});
}

} // namespace savorytrail::stand_ins
