// The users' platform on loopback, written from PROTOCOL.md and DEPLOY.md: the store, executors, the
// settings of entries, and the entries' processes. One mutex guards all state of store and executors.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

#include "http.h"

namespace review {

using nlohmann::json;

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline std::string base64(const std::string& text) {
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned bits = 0;
        for (std::size_t k = 0; k < 3; k++) {
            bits = bits << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; k++) {
            out += i + k > text.size() ? '=' : digits[bits >> (18 - 6 * k) & 63U];
        }
    }
    return out;
}

// What was sent, answered and run, with the milliseconds since the start.
class record {
public:
    explicit record(const std::string& path) : m_file(path), m_begin(clock_type::now()) {}

    void line(const std::string& text) {
        const std::lock_guard lock(m_mutex);
        const auto at = std::chrono::duration_cast<ms>(clock_type::now() - m_begin).count();
        m_file << at << " " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const clock_type::time_point m_begin;
};

// What executors know of a task that they run: the room that it takes, and how long it works.
struct task_facts {
    std::int64_t cpu = 0;
    std::int64_t memory_mb = 64;
    std::int64_t work_ms = 0;
    std::string required_label;
};

struct executor_options {
    std::string id;
    std::string ip;
    std::string zone;
    std::vector<std::string> labels;
    std::int64_t cpu = 64000;
    std::int64_t memory_mb = 131072;
    bool guards = true; // rejects what does not fit
};

class platform;

// One executor: leases on its own clock, fences, run numbers, ends that are listed until acknowledged.
class executor {
public:
    struct run {
        std::int64_t number = 0;
        clock_type::time_point ends_at;
        task_facts facts;
    };

    executor(platform& owner, executor_options options);

    void start_process();
    void crash();

    executor_options options;
    bool is_up = false;
    bool is_draining = false;
    std::int64_t born = 0;
    std::int64_t seq = 0;
    clock_type::time_point last_heartbeat;
    std::map<std::string, run> running;

    std::optional<message> serve(const message& request);
    // Ends the runs that are due, and those whose lease has ended.
    void advance();
    std::int64_t clock_ms() const {
        return std::chrono::duration_cast<ms>(clock_type::now() - m_started).count() + 1000;
    }

private:
    message reply(int status, json body) const;
    message start(const json& body);
    void end(const std::string& task, const std::string& how);
    std::int64_t used_cpu() const;

    platform& m_owner;
    clock_type::time_point m_started;
    std::int64_t m_fence = 0;
    std::int64_t m_lease_until = 0;
    std::int64_t m_next_end = 1;
    std::map<std::string, std::int64_t> m_highest_ended;
    struct ended {
        std::int64_t n = 0;
        std::string task;
        std::int64_t number = 0;
        std::string how;
    };
    std::vector<ended> m_ended;
    std::unique_ptr<http_host> m_host;
};

class platform {
public:
    static constexpr int store_port = 8169;
    static constexpr int executor_port = 8080;
    static constexpr ms heartbeat_interval{1500};
    static constexpr std::int64_t hold_max_ms = 1000;

    platform(std::string network, record& log) : m_network(std::move(network)), m_log(log) {
        m_store = std::make_unique<http_host>(store_ip(), store_port, [this](const auto& it) { return serve(it); });
    }

    bool begin() {
        if (!m_store->listen()) {
            return false;
        }
        m_ticker = std::thread([this] { tick(); });
        return true;
    }
    void finish() {
        m_is_over = true;
        m_ticker.join();
        for (auto& it : executors) {
            it->crash();
        }
        m_store->crash();
    }

    std::string store_ip() const { return m_network + ".0.1"; }
    const std::string& network() const { return m_network; }
    record& log() { return m_log; }

    executor& add(executor_options options) {
        options.ip = m_network + ".1." + std::to_string(executors.size() + 1);
        executors.push_back(std::make_unique<executor>(*this, std::move(options)));
        executors.back()->start_process();
        return *executors.back();
    }

    void put(const std::string& table, const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex);
        m_tables[table][key] = {value, ++m_version, false};
        changed.notify_all();
    }
    void remove(const std::string& table, const std::string& key) {
        const std::lock_guard lock(mutex);
        auto& it = m_tables[table][key];
        if (it.version != 0 && !it.is_deleted) {
            it = {"", ++m_version, true};
            changed.notify_all();
        }
    }
    void register_executor(executor& it) {
        const std::lock_guard lock(mutex);
        it.last_heartbeat = clock_type::now();
        it.seq++;
        json row{{"service", "desk"},
                 {"address", it.options.ip + ":" + std::to_string(executor_port)},
                 {"zone", it.options.zone},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", it.is_draining ? "draining" : "ready"},
                 {"seq", it.seq},
                 {"born", it.born},
                 {"labels", it.options.labels},
                 {"capacity", {{"cpu", it.options.cpu}, {"memMb", it.options.memory_mb}}}};
        put("servers", it.options.id, row.dump());
    }
    // A queue for each prefix, at host desk.example.
    void configure(std::int64_t version, const std::vector<std::string>& prefixes = {"/q/"}) {
        json routes = json::array();
        for (const auto& it : prefixes) {
            routes.push_back({{"name", "queue" + it.substr(1, it.size() - 2)},
                              {"host", "desk.example"},
                              {"prefix", it},
                              {"service", "desk"},
                              {"timeoutMs", 30000},
                              {"maxAttempts", 3},
                              {"stretch", 3.0},
                              {"targetDurationMs", 200}});
        }
        const json service{{"name", "desk"}, {"rejectsOverload", true}};
        put("op", "config",
            json{{"version", version}, {"routes", routes}, {"services", {service}}, {"limits", json::object()}}.dump());
    }
    // The connections to the store go silent for good, and new ones work.
    void silence_store() { m_store->silence(); }

    // Called with each accepted start, under the mutex.
    std::function<void(executor&, const std::string& task, std::int64_t number)> on_start;
    std::function<task_facts(const std::string& job, const std::string& spec)> facts_of;

    std::recursive_mutex mutex;
    std::condition_variable_any changed;
    std::vector<std::unique_ptr<executor>> executors;

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool is_deleted = false;
    };

    static std::string field(const std::string& target, const std::string& name) {
        const auto at = target.find(name + "=");
        if (at == std::string::npos) {
            return "";
        }
        const auto from = at + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }

    message rows(const std::string& table, std::uint64_t after, bool with_removed) {
        std::vector<std::pair<std::uint64_t, json>> list;
        for (const auto& [key, it] : m_tables[table]) {
            if (it.version <= after || (it.is_deleted && !with_removed)) {
                continue;
            }
            json one{{"table", table}, {"part", ""}, {"key", key}, {"ver", it.version}};
            if (it.is_deleted) {
                one["tombstone"] = true;
            } else {
                one["value"] = base64(it.value);
            }
            list.emplace_back(it.version, std::move(one));
        }
        if (with_removed) {
            std::sort(list.begin(), list.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        }
        json out = json::array();
        for (auto& [version, one] : list) {
            out.push_back(std::move(one));
        }
        message answer;
        answer.status = 200;
        answer.body = json{{"rows", out}, {"hasMore", false}, {"ver", m_version}, {"nowMs", steady_ms()}}.dump();
        return answer;
    }

    static std::int64_t steady_ms() {
        return std::chrono::duration_cast<ms>(clock_type::now().time_since_epoch()).count();
    }

    std::optional<message> serve(const message& request) {
        std::this_thread::sleep_for(ms(4)); // the store's answer takes 4 ms
        std::unique_lock lock(mutex);
        const auto path = request.target.substr(0, request.target.find('?'));
        if (path == "/-/rows-get") {
            return rows(field(request.target, "table"), 0, false);
        }
        if (path == "/-/rows-feed") {
            const auto table = field(request.target, "table");
            const auto after = std::stoull("0" + field(request.target, "after"));
            const auto until = clock_type::now() + ms(std::stoll("0" + field(request.target, "waitMs")));
            const auto has_news = [&] {
                return m_is_over || std::any_of(m_tables[table].begin(), m_tables[table].end(),
                                                [&](const auto& it) { return it.second.version > after; });
            };
            changed.wait_until(lock, until, has_news);
            return rows(table, after, true);
        }
        message answer;
        if (path == "/-/rows-tx") {
            const auto body = json::parse(request.body);
            m_version++;
            for (const auto& it : body.value("puts", json::array())) {
                // Kept as it came: only the entries read their own table.
                m_tables[it.at("table")][it.at("key")] = {decode64(it.at("value")), m_version, false};
            }
            for (const auto& it : body.value("remove", json::array())) {
                m_tables[it.at("table")][it.at("key")] = {"", m_version, true};
            }
            changed.notify_all();
            answer.status = 200;
            answer.body = json{{"ver", m_version}, {"nowMs", steady_ms()}}.dump();
            return answer;
        }
        answer.status = 404;
        return answer;
    }

    static std::string decode64(const std::string& text) {
        static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        unsigned bits = 0;
        int count = 0;
        for (const char c : text) {
            const auto n = digits.find(c);
            if (n == std::string::npos) {
                break;
            }
            bits = bits << 6 | static_cast<unsigned>(n);
            count += 6;
            if (count >= 8) {
                count -= 8;
                out += static_cast<char>(bits >> count & 255U);
            }
        }
        return out;
    }

    // Moves executors on, writes their heartbeats, and removes the rows of silent ones.
    void tick() {
        while (!m_is_over) {
            {
                const std::lock_guard lock(mutex);
                const auto now = clock_type::now();
                for (auto& it : executors) {
                    if (it->is_up) {
                        it->advance();
                        if (now - it->last_heartbeat >= heartbeat_interval) {
                            register_executor(*it);
                        }
                    } else if (now - it->last_heartbeat >= 3 * heartbeat_interval) {
                        remove("servers", it->options.id);
                    }
                }
            }
            std::this_thread::sleep_for(ms(1));
        }
    }

    const std::string m_network;
    record& m_log;
    std::map<std::string, std::map<std::string, row>> m_tables;
    std::uint64_t m_version = 0;
    std::unique_ptr<http_host> m_store;
    std::thread m_ticker;
    std::atomic<bool> m_is_over = false;
};

inline executor::executor(platform& owner, executor_options its_options)
    : options(std::move(its_options)), m_owner(owner) {
    m_host = std::make_unique<http_host>(options.ip, platform::executor_port,
                                         [this](const message& it) { return serve(it); });
}

// The process registers before it serves.
inline void executor::start_process() {
    {
        const std::lock_guard lock(m_owner.mutex);
        m_started = clock_type::now();
        born = std::max(unix_ms(), born + 1);
        seq = 0;
        m_fence = 0;
        m_lease_until = 0;
        m_next_end = 1;
        m_highest_ended.clear();
        m_ended.clear();
        running.clear();
        is_up = true;
        is_draining = false;
        m_owner.register_executor(*this);
    }
    while (!m_host->listen()) {
        std::this_thread::sleep_for(ms(5));
    }
}

inline void executor::crash() {
    {
        const std::lock_guard lock(m_owner.mutex);
        is_up = false;
        running.clear();
        m_owner.changed.notify_all();
    }
    m_host->crash();
}

inline std::int64_t executor::used_cpu() const {
    std::int64_t sum = 0;
    for (const auto& [task, it] : running) {
        sum += it.facts.cpu;
    }
    return sum;
}

inline void executor::end(const std::string& task, const std::string& how) {
    const auto number = running.at(task).number;
    running.erase(task);
    m_highest_ended[task] = std::max(m_highest_ended[task], number);
    m_ended.push_back({m_next_end++, task, number, how});
    m_owner.log().line("end " + options.id + " " + task + " run " + std::to_string(number) + " " + how);
    m_owner.changed.notify_all();
}

inline void executor::advance() {
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& [task, it] : running) {
        if (clock_ms() > m_lease_until) {
            ends.emplace_back(task, "lapsed");
        } else if (clock_type::now() >= it.ends_at) {
            ends.emplace_back(task, "done");
        }
    }
    for (const auto& [task, how] : ends) {
        end(task, how);
    }
}

inline message executor::reply(int status, json body) const {
    body["clockMs"] = clock_ms();
    message it;
    it.status = status;
    it.body = body.dump();
    return it;
}

inline message executor::start(const json& body) {
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::int64_t>();
    const auto until = body.at("untilMs").get<std::int64_t>();
    if (until <= clock_ms()) {
        return reply(409, {{"reason", "late"}});
    }
    m_lease_until = std::max(m_lease_until, std::min(until, clock_ms() + platform::hold_max_ms));
    if (const auto it = running.find(task); it != running.end()) {
        return it->second.number == number ? reply(200, json::object()) : reply(409, {{"reason", "old"}});
    }
    if (const auto it = m_highest_ended.find(task); it != m_highest_ended.end() && number <= it->second) {
        return reply(409, {{"reason", "old"}});
    }
    const auto facts = m_owner.facts_of(task.substr(0, task.find('.')), body.value("spec", ""));
    if (options.guards && used_cpu() + facts.cpu > options.cpu) {
        return reply(409, {{"reason", "room"}});
    }
    running[task] = {number, clock_type::now() + ms(facts.work_ms), facts};
    m_owner.on_start(*this, task, number);
    return reply(200, json::object());
}

inline std::optional<message> executor::serve(const message& request) {
    std::unique_lock lock(m_owner.mutex);
    const int life = m_host->life();
    const auto expected = request.headers.find("x-savorytrail-expect-instance");
    if (expected != request.headers.end() && expected->second != options.id) {
        return reply(421, json::object());
    }
    advance();
    const auto body = json::parse(request.body);
    const auto fence = body.value("fence", std::int64_t{0});
    if (fence < m_fence) {
        return reply(409, {{"reason", "fence"}});
    }
    m_fence = fence;
    if (request.target == "/-/run-start") {
        return start(body);
    }
    if (request.target == "/-/run-stop") {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::int64_t>();
        if (const auto it = running.find(task); it != running.end() && it->second.number <= number) {
            end(task, "stopped");
        }
        m_highest_ended[task] = std::max(m_highest_ended[task], number);
        return reply(200, json::object());
    }
    if (request.target != "/-/hold") {
        message none;
        none.status = 404;
        return none;
    }
    if (body.contains("untilMs")) {
        const auto until = body.at("untilMs").get<std::int64_t>();
        m_lease_until = std::max(m_lease_until, std::min(until, clock_ms() + platform::hold_max_ms));
    }
    const auto acknowledged = body.value("ackedUpto", std::int64_t{0});
    std::erase_if(m_ended, [&](const ended& it) { return it.n <= acknowledged; });
    const auto until = clock_type::now() + ms(body.value("waitMs", std::int64_t{0}));
    m_owner.changed.wait_until(lock, until, [&] { return !m_ended.empty() || m_host->life() != life; });
    if (m_host->life() != life) {
        return std::nullopt;
    }
    advance();
    json lists{{"born", born}, {"running", json::array()}, {"ended", json::array()}};
    for (const auto& [task, it] : running) {
        lists["running"].push_back({task, it.number, "", 100, it.facts.cpu});
    }
    for (std::size_t i = 0; i < m_ended.size() && i < 500; i++) {
        lists["ended"].push_back({m_ended[i].n, m_ended[i].task, m_ended[i].number, m_ended[i].how, ""});
    }
    return reply(200, lists);
}

// The system's processes, started as the deploy file says.
class entries {
public:
    static constexpr int caller_port = 8161;
    static constexpr int ready_port = 8167;
    static constexpr ms start_interval{40}; // all machines start within 0.3 s

    entries(const platform& of, std::vector<std::string> zones, std::string folder)
        : m_platform(of), m_zones(std::move(zones)), m_folder(std::move(folder)), m_pids(m_zones.size(), -1) {
        for (std::size_t i = 0; i < m_zones.size(); i++) {
            start(i);
            std::this_thread::sleep_for(start_interval);
        }
    }
    ~entries() {
        for (std::size_t i = 0; i < m_pids.size(); i++) {
            kill(i);
        }
    }

    std::size_t size() const { return m_zones.size(); }
    std::string ip(std::size_t i) const { return m_platform.network() + ".2." + std::to_string(i + 1); }

    void start(std::size_t i) {
        const auto path = m_folder + "/" + std::to_string(i) + ".toml";
        std::ofstream(path) << settings(i);
        const auto log = m_folder + "/entry-" + std::to_string(i) + ".log";
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const std::string boot = "SAVORYTRAIL_BOOT=" + path;
            const char* const arguments[] = {"target/bin/savory-platform-entry", nullptr};
            const char* const variables[] = {boot.c_str(), "PATH=/usr/bin:/bin", "HOME=/tmp", nullptr};
            ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(variables));
            ::_exit(127);
        }
        m_pids[i] = pid;
    }
    void signal(std::size_t i, int number) const { ::kill(m_pids.at(i), number); }
    void kill(std::size_t i) {
        if (m_pids.at(i) > 0) {
            ::kill(m_pids[i], SIGKILL);
            ::waitpid(m_pids[i], nullptr, 0);
            m_pids[i] = -1;
        }
    }
    // Whether the process has ended by itself.
    bool has_ended(std::size_t i) {
        if (m_pids.at(i) > 0 && ::waitpid(m_pids[i], nullptr, WNOHANG) == m_pids[i]) {
            m_pids[i] = -1;
        }
        return m_pids[i] < 0;
    }
    bool wait_until_ready(ms patience) {
        const auto until = clock_type::now() + patience;
        std::size_t ready = 0;
        while (ready < size() && clock_type::now() < until) {
            ready = 0;
            for (std::size_t i = 0; i < size(); i++) {
                const auto answer = call(ip(i), ready_port, "GET", "/-/ready", {}, "", ms(500));
                ready += answer && answer->status == 200 ? 1 : 0;
            }
            std::this_thread::sleep_for(ms(50));
        }
        return ready == size();
    }

private:
    std::string settings(std::size_t i) const {
        const auto quoted = [](const std::string& text) { return "\"" + text + "\""; };
        std::string zones;
        for (const auto& it : std::set<std::string>(m_zones.begin(), m_zones.end())) {
            zones += it + " = \"region\"\n";
        }
        return "node = " + quoted("front-" + std::to_string(i)) + "\nrole = \"entry\"\nclass = \"front\"\n" +
               "serves = [\"front\",\"control\"]\nip = " + quoted(ip(i)) + "\nzone = " + quoted(m_zones[i]) +
               "\nregion = \"region\"\nportRange = [7720,7735]\nseeds = [" + quoted(ip(0) + ":8166") +
               "]\nbootstrap = true\nlossCounts = false\ndiscovery = \"platform\"\nentry = \"vip\"\n" +
               "heartbeatMs = 1500\n" +
               "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\n" +
               "orders = \"call\"\n[zones]\n" + zones + "[listen]\nfront = " + quoted(ip(i) + ":8161") +
               "\nready = " + quoted(ip(i) + ":8167") + "\ncontrol = " + quoted(ip(i) + ":8166") +
               "\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\n" +
               "diskMb = 0\n[tolerate]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\nseedLagS = 3\n" +
               "reuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 6\n" +
               "lossSlackMs = 200\nconfigMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\nrecoverS = 12\n" +
               "holdMaxMs = 1000\nstopMs = 50\ngangMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n" +
               "early_ms = 250\nfinish_s = 14\nstatus_s = 120\nfarX = 1.5\nsaveS = 0.5\nrestoreMs = 100\n" +
               "noticeMs = 4500\nmoveS = 1.5\nupkeepS = 2\nfencingRequired = false\nleaseMs = 3000\n" +
               "thawSlackMs = 300\npaceMs = 100\nharmMs = 4000\nresendMs = 1300\n[platform]\naddress = " +
               quoted(m_platform.store_ip() + ":8169") +
               "\nform = \"table\"\nwritesPerS = 600\nreadsPerS = 2000\ntxMs = 3.0\npartWritesS = 300\n" +
               "rowBytes = 65536\nacross = true\nhistoryS = 20\nblobBytes = 8388608\nblobMs = 25.0\n" +
               "blobMbS = 80.0\n";
    }

    const platform& m_platform;
    const std::vector<std::string> m_zones;
    const std::string m_folder;
    std::vector<pid_t> m_pids;
};

inline std::string new_job_id() {
    static std::mt19937_64 s_random{std::random_device{}()};
    static std::mutex s_mutex;
    const std::lock_guard lock(s_mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(s_random()));
    return text;
}

// A 127.N network on which the ports that a case uses are free.
inline std::string free_network() {
    std::mt19937 random{std::random_device{}()};
    for (int tries = 0; tries < 100; tries++) {
        const auto network = "127." + std::to_string(20 + random() % 200);
        http_host probe(network + ".0.1", platform::store_port, nullptr);
        http_host other(network + ".2.1", entries::caller_port, nullptr);
        if (probe.listen() && other.listen()) {
            return network;
        }
    }
    return "127.19";
}

inline bool has_trouble() {
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace review
