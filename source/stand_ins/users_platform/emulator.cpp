#include "stand_ins/users_platform/emulator.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

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

// The payload of a job gives the CPU and the duration of its tasks, and whether they fail, or crash
// their executors halfway, or which label they require: "CPU_MILLIS MILLISECONDS [fail|crash|on
// LABEL]", or any other word, by which set_interference() tells payloads apart.
cell::simulated_executor::simulated_task parse_payload(const std::string& payload) {
    const auto space = payload.find(' ');
    const milliseconds work(std::stoll(payload.substr(space + 1)));
    const auto crashes_after = payload.ends_with(" crash") ? std::optional(work / 2) : std::nullopt;
    return {{std::stoll(payload.substr(0, space)), 64, 0},
            work,
            payload.ends_with(" fail"),
            crashes_after};
}

// With milliseconds, to compare with the entries' logs.
std::string time_of_day() {
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    const auto ms = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000;
    std::ostringstream text;
    text << std::put_time(&parts, "%T") << '.' << std::setw(3) << std::setfill('0') << ms;
    return text.str();
}

// Empty if the payload names none.
std::string required_label(const std::string& payload) {
    constexpr std::string_view marker = " on ";
    const auto at = payload.find(marker);
    return at == std::string::npos ? "" : payload.substr(at + marker.size());
}

} // namespace

std::string to_string(const overlap& it) {
    const auto ms = [](auto duration) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count()) + " ms";
    };
    const auto describe = [&](const overlapping_run& run) {
        return "executor " + std::to_string(run.executor) + " (" + run.failure_domain + ") run " +
               std::to_string(run.number) + " fence " + std::to_string(run.fence) + " " +
               (run.end.empty() ? "still running" : run.end);
    };
    const auto began = std::chrono::system_clock::to_time_t(it.began);
    std::tm parts{};
    gmtime_r(&began, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%T") << " task " << it.task.job << "." << it.task.step << "."
         << it.task.index << ": " << describe(it.first) << "; "
         << ms(it.second.started - it.first.started) << " after its start also "
         << describe(it.second) << "; both for " << ms(it.last_seen - it.second.started);
    return text.str();
}

struct emulator::executor_host {
    cell::simulated_executor simulated;
    std::unique_ptr<reactor::http_server> server; // null while no process answers
    int number = 0;
    stop_fault on_stop = stop_fault::none;
    std::size_t crashes_counted = 0;      // of those by tasks
    std::int64_t registered_start_ms = 0; // of the process that its row tells of
    std::int64_t serving_start_ms = 0;    // of the process that the connections lead to
    std::uint64_t starts = 0;
    std::optional<common::time_point> latest_start = std::nullopt; // set while it drains
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
        if (!m_options.kinds.empty()) {
            info.labels = {m_options.kinds[i % m_options.kinds.size()]};
        }
        auto host = std::make_unique<executor_host>(
            executor_host{cell::simulated_executor(info, 0.99), nullptr});
        host->simulated.longest_lease_ms = m_options.longest_lease.count();
        host->number = i;
        host->serving_start_ms = info.start_time_ms;
        listen(*host);
        register_executor(*host);
        m_executors.push_back(std::move(host));
    }
    m_loop.every(milliseconds(1), [this] { advance(); });
    if (m_options.heartbeat.count() > 0) {
        m_loop.every(m_options.heartbeat / m_options.executors, [this] { write_heartbeats(); });
    }
    m_thread = std::thread([this] { m_loop.run(); });
}

void emulator::listen(executor_host& host) {
    host.server = std::make_unique<reactor::http_server>(
        m_loop, reactor::server_limits{}, [this, at = &host](const auto& request, const auto& to) {
            serve_executor(*at, request, to);
        });
    host.server->listen(executor(host.number)).value();
}

// Of one executor after the other.
void emulator::write_heartbeats() {
    const std::lock_guard lock(m_mutex);
    auto& host = *m_executors.at(m_heartbeats++ % m_executors.size());
    if (!host.simulated.is_down()) {
        register_executor(host);
    }
}

void emulator::follow_process(executor_host& host) {
    const auto start_ms = host.simulated.current_report().start_time_ms;
    if (host.serving_start_ms != start_ms && host.server != nullptr) {
        host.latest_start.reset();
        host.server->close_connections();
        host.server = nullptr;
    }
    if (host.server == nullptr && !host.simulated.is_down()) {
        host.serving_start_ms = start_ms;
        listen(host);
    }
}

void emulator::advance() {
    const std::lock_guard lock(m_mutex);
    for (const auto& it : m_executors) {
        it->simulated.advance(now());
        m_crash_budget.count_crashes(it->simulated, it->crashes_counted);
        follow_process(*it);
        const bool is_new = it->registered_start_ms != it->simulated.info().start_time_ms;
        if (is_new && !it->simulated.is_down()) {
            register_executor(*it);
        }
    }
    note_overlaps();
    note_interfering_runs();
}

void emulator::note_overlaps() {
    for (auto& it : m_overlaps) {
        if (it.is_over) {
            continue;
        }
        it.is_over = !is_running(it.task, it.first) || !is_running(it.task, it.second);
        it.last_seen = now();
        it.first.end = end_of(it.task, it.first);
        it.second.end = end_of(it.task, it.second);
    }
    std::map<work::task_id, overlapping_run> running;
    for (int i = 0; i < static_cast<int>(m_executors.size()); i++) {
        const auto& simulated = m_executors[i]->simulated;
        for (const auto& [task, run] : simulated.running()) {
            const overlapping_run found{
                i, simulated.info().failure_domain, run.number, run.fence, run.started, ""};
            const auto [other, is_only] = running.emplace(task, found);
            if (!is_only) {
                note_overlap(task, found, other->second);
            }
        }
    }
}

void emulator::note_overlap(const work::task_id& task, const overlapping_run& a,
                            const overlapping_run& b) {
    const bool is_known = std::any_of(m_overlaps.begin(), m_overlaps.end(), [&](const auto& it) {
        return !it.is_over && it.task == task;
    });
    if (is_known) {
        return;
    }
    const bool is_a_first = a.started < b.started;
    m_overlaps.push_back({task, is_a_first ? a : b, is_a_first ? b : a, now(), false,
                          std::chrono::system_clock::now()});
}

bool emulator::is_running(const work::task_id& task, const overlapping_run& run) const {
    const auto& running = m_executors.at(run.executor)->simulated.running();
    const auto it = running.find(task);
    return it != running.end() && it->second.number == run.number &&
           it->second.started == run.started;
}

std::string emulator::end_of(const work::task_id& task, const overlapping_run& run) const {
    if (is_running(task, run)) {
        return "";
    }
    constexpr std::array names = {"done", "failed", "stopped", "lapsed", "broken"};
    for (const auto& it : m_executors.at(run.executor)->simulated.current_report().ended) {
        if (it.run == work::run_key{task, run.number}) {
            return names.at(static_cast<std::size_t>(it.kind));
        }
    }
    return "ended with its executor, or unknown";
}

std::vector<overlap> emulator::overlaps() {
    const std::lock_guard lock(m_mutex);
    return m_overlaps;
}

std::string emulator::overlaps_text() {
    std::string text;
    for (const auto& it : overlaps()) {
        text += to_string(it) + "\n";
    }
    return text;
}

std::set<std::string> emulator::domains_running(const std::string& job) {
    const std::lock_guard lock(m_mutex);
    std::set<std::string> domains;
    for (const auto& it : m_executors) {
        for (const auto& [task, run] : it->simulated.running()) {
            if (task.job == job) {
                domains.insert(it->simulated.info().failure_domain);
            }
        }
    }
    return domains;
}

std::uint64_t emulator::starts_in(const std::string& domain) {
    const std::lock_guard lock(m_mutex);
    return m_starts_in[domain];
}

std::size_t emulator::running_in(const std::string& domain) {
    const std::lock_guard lock(m_mutex);
    std::size_t sum = 0;
    for (const auto& it : m_executors) {
        const auto& simulated = it->simulated;
        sum += simulated.info().failure_domain == domain ? simulated.running().size() : 0;
    }
    return sum;
}

void emulator::set_stop_fault(int executor, stop_fault fault) {
    const std::lock_guard lock(m_mutex);
    m_executors.at(executor)->on_stop = fault;
}

bool emulator::has_started(const std::string& job) {
    const std::lock_guard lock(m_mutex);
    return m_started_jobs.contains(job);
}

void emulator::crash_executor(int i) {
    const std::lock_guard lock(m_mutex);
    m_executors.at(i)->simulated.crash(now());
}

void emulator::restart_executor(int i, const std::string& kind, milliseconds down_time) {
    const std::lock_guard lock(m_mutex);
    auto& simulated = m_executors.at(i)->simulated;
    simulated.set_labels({kind});
    simulated.down_time = down_time;
    simulated.crash(now());
    simulated.down_time = milliseconds(0);
}

std::string emulator::kind_of(int executor) {
    const std::lock_guard lock(m_mutex);
    return m_executors.at(executor)->simulated.info().labels.at(0);
}

std::vector<std::string> emulator::starts_without_label() {
    const std::lock_guard lock(m_mutex);
    return m_starts_without_label;
}

std::uint64_t emulator::starts_on(int executor) {
    const std::lock_guard lock(m_mutex);
    return m_executors.at(executor)->starts;
}

void emulator::set_executor_reachable(int i, bool is_reachable) {
    const std::lock_guard lock(m_mutex);
    m_executors.at(i)->simulated.is_reachable = is_reachable;
}

void emulator::set_executor_slowdown(int i, double slowdown) {
    const std::lock_guard lock(m_mutex);
    m_executors.at(i)->simulated.slowdown = slowdown;
}

void emulator::set_interference(std::vector<interference> pairs) {
    const std::lock_guard lock(m_mutex);
    m_interference = std::move(pairs);
    for (const auto& it : m_executors) {
        it->simulated.interference = [this](const auto& payload, const auto& beside) {
            return interference_of(payload, beside);
        };
    }
}

double emulator::interference_of(const std::string& payload, const std::string& beside) const {
    double factor = 1;
    for (const auto& it : m_interference) {
        const bool applies = payload.ends_with(it.payload) && beside.ends_with(it.beside);
        factor *= applies ? it.factor : 1;
    }
    return factor;
}

void emulator::note_interfering_runs() {
    if (m_interference.empty()) {
        return;
    }
    for (const auto& it : m_executors) {
        const auto& running = it->simulated.running();
        for (const auto& [task, run] : running) {
            for (const auto& [other_task, other] : running) {
                if (other_task != task && interference_of(run.payload, other.payload) > 1) {
                    m_interfering_runs.insert({{task, run.number}, {other_task, other.number}});
                }
            }
        }
    }
}

std::size_t emulator::crashes_by_tasks() {
    const std::lock_guard lock(m_mutex);
    std::size_t sum = 0;
    for (const auto& it : m_executors) {
        sum += it->simulated.crashed_by().size();
    }
    return sum;
}

std::size_t emulator::interfering_runs() {
    const std::lock_guard lock(m_mutex);
    return m_interfering_runs.size();
}

std::size_t emulator::running() {
    const std::lock_guard lock(m_mutex);
    std::size_t n = 0;
    for (const auto& it : m_executors) {
        n += it->simulated.running().size();
    }
    return n;
}

void emulator::register_executor(executor_host& host) {
    const auto& info = host.simulated.info();
    host.registered_start_ms = info.start_time_ms;
    put(names::executor_table, info.id, codec::encode_executor(info));
}

void emulator::configure(std::uint64_t version, const std::vector<std::string>& more_prefixes) {
    const work::queue_settings queue{"q", "upstream", 0, 3, 1.6, milliseconds(60)};
    route::configuration it{version, {{"h.example", "/q/", queue, milliseconds(1500)}}};
    for (const auto& prefix : more_prefixes) {
        it.routes.push_back({"h.example", prefix, queue, milliseconds(1500)});
    }
    put(names::operator_table, names::configuration_key, codec::encode_configuration(it));
}

void emulator::drain_executor(int i, milliseconds bound) {
    const std::lock_guard lock(m_mutex);
    auto& host = *m_executors.at(i);
    host.simulated.set_draining(true);
    register_executor(host);
    if (bound != milliseconds::max()) {
        host.latest_start = now() + bound;
    }
}

void emulator::excuse_until(common::time_point time) {
    const std::lock_guard lock(m_mutex);
    m_excused_until = std::max(m_excused_until, time);
}

std::vector<std::string> emulator::late_starts() {
    const std::lock_guard lock(m_mutex);
    return m_late_starts;
}

void emulator::write_executor_row(const std::string& id, const std::string& value) {
    put(names::executor_table, id, value);
}

std::string emulator::executor_id(int executor) {
    const std::lock_guard lock(m_mutex);
    return m_executors.at(static_cast<std::size_t>(executor))->simulated.info().id;
}

void emulator::put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = {value, ++m_version, false};
}

void emulator::remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = {"", ++m_version, true};
}

void emulator::drain(const std::string& domain, const std::string& value) {
    put(names::operator_table, std::string(names::drain_key_prefix) + domain, value);
}

void emulator::end_drain(const std::string& domain) {
    remove(names::operator_table, std::string(names::drain_key_prefix) + domain);
}

void emulator::set_cold(int executor, milliseconds left) {
    const std::lock_guard lock(m_mutex);
    auto info = m_executors.at(executor)->simulated.info();
    info.cold_left = left;
    put(names::executor_table, info.id, codec::encode_executor(info));
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
    m_loop.after(m_options.store_answer_time, [=, this] { answer_store_call(request, to); });
}

void emulator::answer_store_call(const reactor::http_request& request, const answer& to) {
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
            remove(it.table, it.key);
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
    if (host.serving_start_ms != simulated.current_report().start_time_ms) {
        return; // sent to the process before, whose connections are about to be closed
    }
    const auto expected = reactor::find_header(request.headers, names::expected_executor_header);
    if (!expected.empty() && expected != simulated.info().id) {
        to->send({421, {}, "", json_type});
        return;
    }
    if (request.target == names::start_path) {
        const auto order = codec::decode_start(request.body);
        const auto reply = simulated.start(order, parse_payload(order.payload));
        if (reply.status == work::order_status::accepted) {
            note_start(host, order);
            advance();
        }
        to->send(codec::encode_reply(reply));
    } else if (request.target == names::stop_path) {
        stop_run(host, request, to);
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

void emulator::note_start(executor_host& host, const cell::start_order& order) {
    const auto& info = host.simulated.info();
    m_starts++;
    host.starts++;
    m_starts_in[info.failure_domain]++;
    m_started_jobs.insert(order.run.task.job);
    m_starts_beyond_budget += m_crash_budget.note_start(order.run.task) ? 1 : 0;
    if (host.latest_start && now() > std::max(*host.latest_start, m_excused_until)) {
        m_late_starts.push_back(time_of_day() + " " + order.run.task.job + " on " + info.id);
    }
    const auto label = required_label(order.payload);
    if (!label.empty() && !info.has_label(label)) {
        m_starts_without_label.push_back(time_of_day() + " " + order.run.task.job + " run " +
                                         std::to_string(order.run.number) + " requires " + label +
                                         ", on " + info.id + " (" + info.labels.at(0) +
                                         ", process " + std::to_string(info.start_time_ms) + ")");
    }
}

void emulator::stop_run(executor_host& host, const reactor::http_request& request,
                        const answer& to) {
    const auto carry_out = [this, &host, order = codec::decode_stop(request.body), to] {
        const std::lock_guard lock(m_mutex);
        host.simulated.advance(now());
        const auto reply = host.simulated.stop(order);
        note_overlaps();
        to->send(codec::encode_reply(reply));
    };
    switch (host.on_stop) {
    case stop_fault::none:
        carry_out();
        break;
    case stop_fault::lost:
        m_unanswered.push_back(to);
        break;
    case stop_fault::late:
        m_loop.after(stop_delay, carry_out);
        break;
    }
}

void emulator::wait_for_end(executor_host& host, common::time_point until, const answer& to) {
    const std::lock_guard lock(m_mutex);
    const auto report = host.simulated.current_report();
    if (host.serving_start_ms != report.start_time_ms) {
        return; // asked of the process before, whose connections are closed
    }
    if (report.ended.empty() && now() < until) {
        m_loop.after(poll_interval, [=, this, &host] { wait_for_end(host, until, to); });
        return;
    }
    to->send({200, {}, codec::encode_report(report), json_type});
}

} // namespace savorytrail::stand_ins
