// Stand-ins of the users' platform for the cases review/6 to review/10, written from the pages
// SYSTEM, PROTOCOL and DEPLOY: the store of rows, executors, and the start of entry processes. All of
// it runs in the process of the case, on loopback addresses and the real clock.
#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using json = nlohmann::json;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

inline std::int64_t now_ms() {
    static const auto start = clock_type::now();
    return std::chrono::duration_cast<milliseconds>(clock_type::now() - start).count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(milliseconds(ms));
}

// What was sent, answered and run, in the case's record.txt.
class record {
public:
    static void open(const std::string& path) { file().open(path); }
    static void line(const std::string& text) {
        std::lock_guard lock(mutex());
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f s  ", static_cast<double>(now_ms()) / 1000);
        file() << at << text << std::endl;
    }

private:
    static std::ofstream& file() {
        static std::ofstream it;
        return it;
    }
    static std::mutex& mutex() {
        static std::mutex it;
        return it;
    }
};

// The platform's store: rows, transactions, feeds (PROTOCOL, "The platform's metadata store").
class store {
public:
    void listen(const std::string& host, int port) {
        m_server.new_task_queue = [] { return new httplib::ThreadPool(96); };
        m_server.set_keep_alive_max_count(1000000);
        m_server.set_keep_alive_timeout(30);
        m_server.set_tcp_nodelay(true);
        m_server.Post("/-/rows-tx", [this](const auto& q, auto& a) { transact(q, a); });
        m_server.Get("/-/rows-get", [this](const auto& q, auto& a) { get(q, a); });
        m_server.Get("/-/rows-feed", [this](const auto& q, auto& a) { feed(q, a); });
        if (!m_server.bind_to_port(host, port)) {
            throw std::runtime_error("store: cannot bind " + host);
        }
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
    }
    ~store() { stop(); }
    void stop() {
        {
            std::lock_guard lock(m_mutex);
            m_is_over = true;
        }
        m_changed.notify_all();
        m_server.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    void put(const std::string& table, const std::string& key, const std::string& value) {
        {
            std::lock_guard lock(m_mutex);
            m_rows[{table, key}] = {value, ++m_version, false};
        }
        m_changed.notify_all();
    }
    void remove(const std::string& table, const std::string& key) {
        {
            std::lock_guard lock(m_mutex);
            m_rows[{table, key}] = {"", ++m_version, true};
        }
        m_changed.notify_all();
    }

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool is_dropped = false;
    };

    static std::string encode64(const std::string& text) {
        static const char* digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < text.size(); i += 3) {
            unsigned value = 0;
            for (std::size_t j = 0; j < 3; j++) {
                value = value << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; j++) {
                out += i + j <= text.size() ? digits[value >> (18 - 6 * j) & 63] : '=';
            }
        }
        return out;
    }
    static std::string decode64(const std::string& text) {
        static const std::string digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        int bits = 0;
        unsigned value = 0;
        for (const char c : text) {
            const auto at = digits.find(c);
            if (at == std::string::npos) {
                continue;
            }
            value = value << 6 | static_cast<unsigned>(at);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                out += static_cast<char>(value >> bits & 0xff);
            }
        }
        return out;
    }
    void transact(const httplib::Request& request, httplib::Response& answer) {
        sleep_ms(3); // txMs
        const auto body = json::parse(request.body);
        {
            std::lock_guard lock(m_mutex);
            for (const auto& it : body.value("expected", json::array())) {
                const auto found = m_rows.find({it.at("table"), it.at("key")});
                const auto version =
                    found == m_rows.end() || found->second.is_dropped ? 0 : found->second.version;
                if (version != it.at("ver").get<std::uint64_t>()) {
                    answer.status = 412;
                    answer.set_content(R"({"rows":[],"ver":)" + std::to_string(m_version) +
                                           R"(,"nowMs":)" + std::to_string(now_ms()) + "}",
                                       "application/json");
                    return;
                }
            }
            m_version++;
            for (const auto& it : body.value("puts", json::array())) {
                m_rows[{it.at("table"), it.at("key")}] = {decode64(it.at("value")), m_version,
                                                          false};
            }
            for (const auto& it : body.value("remove", json::array())) {
                m_rows[{it.at("table"), it.at("key")}] = {"", m_version, true};
            }
            answer.set_content(json{{"ver", m_version}, {"nowMs", now_ms()}}.dump(),
                               "application/json");
        }
        m_changed.notify_all();
    }
    json rows_of(const std::string& table, std::uint64_t after, bool with_dropped,
                 const std::string& from) {
        std::map<std::uint64_t, json> by_version;
        json list = json::array();
        for (const auto& [name, it] : m_rows) {
            if (name.first != table || it.version <= after || (it.is_dropped && !with_dropped) ||
                name.second < from) {
                continue;
            }
            json row{{"table", table}, {"part", ""}, {"key", name.second}, {"ver", it.version}};
            if (it.is_dropped) {
                row["tombstone"] = true;
            } else {
                row["value"] = encode64(it.value);
            }
            list.push_back(std::move(row));
        }
        return list;
    }
    void get(const httplib::Request& request, httplib::Response& answer) {
        std::lock_guard lock(m_mutex);
        answer.set_content(json{{"rows", rows_of(request.get_param_value("table"), 0, false,
                                                 request.get_param_value("from"))},
                                {"hasMore", false},
                                {"ver", m_version},
                                {"nowMs", now_ms()}}
                               .dump(),
                           "application/json");
    }
    void feed(const httplib::Request& request, httplib::Response& answer) {
        const auto table = request.get_param_value("table");
        const auto after = std::stoull("0" + request.get_param_value("after"));
        const auto wait = std::stoll("0" + request.get_param_value("waitMs"));
        std::unique_lock lock(m_mutex);
        json rows;
        m_changed.wait_for(lock, milliseconds(wait), [&] {
            rows = rows_of(table, after, true, "");
            return m_is_over || !rows.empty();
        });
        answer.set_content(
            json{{"rows", rows}, {"ver", m_version}, {"nowMs", now_ms()}}.dump(),
            "application/json");
    }

    httplib::Server m_server;
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, row> m_rows; // by table and key
    std::uint64_t m_version = 0;
    bool m_is_over = false;
};

struct task_start {
    std::string job;
    std::string task;
    std::int64_t run = 0;
    std::int64_t at = 0; // now_ms()
    std::string executor;
    std::string spec;
    std::string end;         // empty while it runs
    std::int64_t ended = -1; // now_ms()
};

// All task starts of a case.
class start_log {
public:
    std::size_t add(task_start it) {
        std::lock_guard lock(m_mutex);
        record::line("executor " + it.executor + " starts task " + it.task + ", run " +
                     std::to_string(it.run));
        m_starts.push_back(std::move(it));
        return m_starts.size() - 1;
    }
    void end(std::size_t index, const std::string& how) {
        std::lock_guard lock(m_mutex);
        auto& it = m_starts[index];
        it.end = how;
        it.ended = now_ms();
        record::line("executor " + it.executor + " ends task " + it.task + ", run " +
                     std::to_string(it.run) + ": " + how);
    }
    std::vector<task_start> of(const std::string& job) {
        std::lock_guard lock(m_mutex);
        std::vector<task_start> list;
        for (const auto& it : m_starts) {
            if (job.empty() || it.job == job) {
                list.push_back(it);
            }
        }
        return list;
    }

private:
    std::mutex m_mutex;
    std::vector<task_start> m_starts;
};

// An executor (PROTOCOL, "Running tasks"). A spec is "CPU MS": what a task occupies, and how long it
// takes.
class executor {
public:
    struct options {
        std::string id;
        std::string host;
        std::string zone;
        std::string service = "booking";
        std::vector<std::string> labels = {"a", "r1-1"};
        std::int64_t cpu = 64000;
        std::int64_t mem = 131072;
        std::int64_t hold_max_ms = 1000;
    };

    executor(options by, start_log& log, store& rows)
        : m_options(std::move(by)), m_log(log), m_store(rows), m_born(unix_ms()) {
        m_server.new_task_queue = [] { return new httplib::ThreadPool(48); };
        m_server.set_keep_alive_max_count(1000000);
        m_server.set_keep_alive_timeout(30);
        m_server.set_tcp_nodelay(true);
        m_server.Post("/-/run-start", [this](const auto& q, auto& a) { serve(q, a, 0); });
        m_server.Post("/-/run-stop", [this](const auto& q, auto& a) { serve(q, a, 1); });
        m_server.Post("/-/hold", [this](const auto& q, auto& a) { serve(q, a, 2); });
        m_server.Get("/health", [](const auto&, auto& a) { a.status = 200; });
        if (!m_server.bind_to_port(m_options.host, 8080)) {
            throw std::runtime_error("executor: cannot bind " + m_options.host);
        }
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        m_worker = std::thread([this] { work(); });
        register_here("ready");
    }
    ~executor() {
        m_is_over = true;
        m_changed.notify_all();
        m_server.stop();
        m_thread.join();
        m_worker.join();
    }
    void register_here(const std::string& state) {
        m_store.put("servers", m_options.id,
                    json{{"service", m_options.service},
                         {"address", m_options.host + ":8080"},
                         {"zone", m_options.zone},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", state},
                         {"coldLeftMs", 0},
                         {"capacity", {{"cpu", m_options.cpu}, {"memMb", m_options.mem}, {"gpu", 0}}},
                         {"labels", m_options.labels},
                         {"clockMs", clock_ms()},
                         {"born", m_born},
                         {"seq", ++m_sequence}}
                        .dump());
    }

private:
    struct run {
        std::int64_t number = 0;
        std::int64_t cpu = 0;
        std::int64_t done_at = 0;
        std::size_t index = 0;
    };

    std::int64_t clock_ms() const { return now_ms() + 5000; }

    void serve(const httplib::Request& request, httplib::Response& answer, int call) {
        const auto body = json::parse(request.body, nullptr, false);
        std::unique_lock lock(m_mutex);
        json reply{{"clockMs", clock_ms()}};
        const auto send = [&](int status, const char* reason = nullptr) {
            if (reason != nullptr) {
                reply["reason"] = reason;
            }
            answer.status = status;
            answer.set_content(reply.dump(), "application/json");
        };
        if (request.has_header("X-Savorytrail-Expect-Instance") &&
            request.get_header_value("X-Savorytrail-Expect-Instance") != m_options.id) {
            return send(421);
        }
        if (!body.is_object()) {
            return send(400);
        }
        const auto fence = body.value("fence", std::int64_t{0});
        if (fence < m_fence) {
            return send(409, "fence");
        }
        m_fence = fence;
        expire();
        if (call == 0) {
            start(body, send);
        } else if (call == 1) {
            stop(body);
            send(200);
        } else {
            hold(body, lock, reply);
            send(200);
        }
    }
    void extend(const json& body) {
        if (body.contains("untilMs")) {
            const auto until = std::min(body.at("untilMs").get<std::int64_t>(),
                                        clock_ms() + m_options.hold_max_ms);
            m_lease = std::max(m_lease, until);
        }
    }
    template <typename Send> void start(const json& body, const Send& send) {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::int64_t>();
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second.number == number) {
            extend(body);
            return send(200);
        }
        if (body.at("untilMs").get<std::int64_t>() <= clock_ms()) {
            return send(409, "late");
        }
        if (found != m_running.end() || number <= m_highest[task]) {
            extend(body);
            return send(409, "old");
        }
        const auto spec = body.at("spec").get<std::string>();
        long long cpu = 0;
        long long ms = 0;
        std::sscanf(spec.c_str(), "%lld %lld", &cpu, &ms);
        extend(body);
        if (m_used + cpu > m_options.cpu) {
            return send(409, "room");
        }
        m_used += cpu;
        task_start it;
        it.job = task.substr(0, task.find('.'));
        it.task = task;
        it.run = number;
        it.at = now_ms();
        it.executor = m_options.id;
        it.spec = spec;
        m_running[task] = {number, cpu, now_ms() + ms, m_log.add(std::move(it))};
        m_changed.notify_all();
        send(200);
    }
    void stop(const json& body) {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::int64_t>();
        m_highest[task] = std::max(m_highest[task], number);
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second.number <= number) {
            end(found, "stopped");
        }
    }
    void hold(const json& body, std::unique_lock<std::mutex>& lock, json& reply) {
        extend(body);
        const auto acked = body.value("ackedUpto", std::int64_t{0});
        std::erase_if(m_ended, [&](const json& it) { return it.at(0).get<std::int64_t>() <= acked; });
        const auto wait = std::min<std::int64_t>(body.value("waitMs", 0), 2000);
        m_changed.wait_for(lock, milliseconds(wait), [&] { return m_is_over || !m_ended.empty(); });
        reply["clockMs"] = clock_ms();
        reply["born"] = m_born;
        reply["running"] = json::array();
        for (const auto& [task, it] : m_running) {
            reply["running"].push_back({task, it.number, "", 100});
        }
        reply["ended"] = json::array();
        for (std::size_t i = 0; i < std::min<std::size_t>(m_ended.size(), 500); i++) {
            reply["ended"].push_back(m_ended[i]);
        }
    }
    void end(std::map<std::string, run>::iterator it, const std::string& how) {
        m_used -= it->second.cpu;
        m_highest[it->first] = std::max(m_highest[it->first], it->second.number);
        m_ended.push_back({++m_ends, it->first, it->second.number, how, ""});
        m_log.end(it->second.index, how);
        m_running.erase(it);
        m_changed.notify_all();
    }
    void expire() {
        while (!m_running.empty() && clock_ms() >= m_lease) {
            end(m_running.begin(), "lapsed");
        }
    }
    void work() {
        std::int64_t beat = now_ms();
        while (!m_is_over) {
            sleep_ms(2);
            {
                std::lock_guard lock(m_mutex);
                expire();
                for (auto it = m_running.begin(); it != m_running.end();) {
                    const auto next = std::next(it);
                    if (now_ms() >= it->second.done_at) {
                        end(it, "done");
                    }
                    it = next;
                }
            }
            if (now_ms() - beat >= 1500) { // heartbeatMs
                beat = now_ms();
                register_here("ready");
            }
        }
    }

    const options m_options;
    start_log& m_log;
    store& m_store;
    const std::int64_t m_born;
    httplib::Server m_server;
    std::thread m_thread;
    std::thread m_worker;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_is_over = false;
    std::int64_t m_fence = 0;
    std::int64_t m_lease = 0;
    std::int64_t m_used = 0;
    std::int64_t m_ends = 0;
    std::atomic<std::int64_t> m_sequence = 0;
    std::map<std::string, run> m_running;          // by task
    std::map<std::string, std::int64_t> m_highest; // run that was stopped or ended, by task
    std::vector<json> m_ended;
};

// Links between two entries: what goes from entry i to entry j passes here, over UDP and TCP, and is
// dropped while the link is cut.
class link {
public:
    link(std::string from_host, int from_port, std::string to_host, int to_port)
        : m_from(std::move(from_host)), m_to(std::move(to_host)), m_to_port(to_port) {
        m_udp = bound(SOCK_DGRAM, m_to, from_port);
        m_udp_out = bound(SOCK_DGRAM, m_from, from_port + 1000);
        m_tcp = bound(SOCK_STREAM, m_to, from_port);
        ::listen(m_tcp, 64);
        m_threads.emplace_back([this] { pass_datagrams(); });
        m_threads.emplace_back([this] { accept_connections(); });
    }
    ~link() {
        m_is_over = true;
        ::shutdown(m_tcp, SHUT_RDWR);
        for (auto& it : m_threads) {
            it.join();
        }
        ::close(m_udp);
        ::close(m_udp_out);
        ::close(m_tcp);
        while (m_connections > 0) {
            sleep_ms(5);
        }
    }
    void cut(bool is_cut) { m_is_cut = is_cut; }

private:
    static sockaddr_in address(const std::string& host, int port) {
        sockaddr_in it{};
        it.sin_family = AF_INET;
        it.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, host.c_str(), &it.sin_addr);
        return it;
    }
    static int bound(int type, const std::string& host, int port) {
        const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        timeval wait{0, 50000};
        ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
        const auto at = address(host, port);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
            throw std::runtime_error("link: cannot bind " + host + ":" + std::to_string(port));
        }
        return fd;
    }
    void pass_datagrams() {
        std::vector<char> bytes(65536);
        const auto to = address(m_to, m_to_port);
        while (!m_is_over) {
            const auto n = ::recv(m_udp, bytes.data(), bytes.size(), 0);
            if (n > 0 && !m_is_cut) {
                ::sendto(m_udp_out, bytes.data(), static_cast<std::size_t>(n), 0,
                         reinterpret_cast<const sockaddr*>(&to), sizeof to);
            }
        }
    }
    void accept_connections() {
        while (!m_is_over) {
            const int near = ::accept4(m_tcp, nullptr, nullptr, SOCK_CLOEXEC);
            if (near < 0) {
                continue;
            }
            m_connections++;
            std::thread([this, near] {
                serve(near);
                m_connections--;
            }).detach();
        }
    }
    void serve(int near) {
        // A connection that is opened while the link is cut stays silent, as behind a partition.
        while (m_is_cut && !m_is_over) {
            sleep_ms(5);
        }
        const int far = bound(SOCK_STREAM, m_from, 0);
        const auto to = address(m_to, m_to_port);
        if (::connect(far, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
            for (const int fd : {near, far}) {
                ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
            }
            bool is_open = true;
            while (is_open && !m_is_over) {
                if (m_is_cut) {
                    sleep_ms(5);
                    continue;
                }
                const bool idle = !(pass(near, far, is_open) | pass(far, near, is_open));
                if (idle) {
                    sleep_ms(1);
                }
            }
        }
        ::close(near);
        ::close(far);
    }
    static bool pass(int from, int to, bool& is_open) {
        char bytes[16384];
        const auto n = ::recv(from, bytes, sizeof bytes, 0);
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
            is_open = false;
            return true;
        }
        for (ssize_t sent = 0; sent < n;) {
            const auto m = ::send(to, bytes + sent, static_cast<std::size_t>(n - sent), MSG_NOSIGNAL);
            if (m < 0 && errno != EAGAIN) {
                is_open = false;
                return true;
            }
            sent += std::max<ssize_t>(m, 0);
        }
        return n > 0;
    }

    const std::string m_from;
    const std::string m_to;
    const int m_to_port;
    int m_udp = -1;
    int m_udp_out = -1;
    int m_tcp = -1;
    std::atomic<bool> m_is_cut = false;
    std::atomic<bool> m_is_over = false;
    std::atomic<int> m_connections = 0;
    std::vector<std::thread> m_threads;
};

// Processes that are to end with the case, also when it takes too long.
inline std::set<pid_t>& processes() {
    static std::set<pid_t> it;
    return it;
}

inline std::mutex& processes_mutex() {
    static std::mutex it;
    return it;
}

struct reply {
    int status = 0; // 0: no answer
    std::string body;
};

// A small deployment: the store, executors, and entry processes with the deploy file's command.
class deployment {
public:
    struct entry {
        std::string name;
        std::string zone;
        std::string host;
        int peer_port = 7720;
        pid_t pid = 0;
        std::int64_t started_at = 0;
    };

    // `with_links`: what entries send each other can be cut.
    explicit deployment(std::vector<std::string> zones, int entries_per_zone, int executors_per_zone,
                        bool with_links = false)
        : m_network(free_network()), m_zones(std::move(zones)) {
        char folder[] = "/tmp/savory-review-XXXXXX";
        if (mkdtemp(folder) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        m_folder = folder;
        m_store.listen(m_network + ".0.1", 8169);
        for (const auto& zone : m_zones) {
            for (int i = 0; i < executors_per_zone; i++) {
                const auto n = std::to_string(m_executors.size() + 1);
                m_executors.push_back(std::make_unique<executor>(
                    executor::options{"i-" + n, m_network + ".1." + n, zone}, m_starts, m_store));
            }
            for (int i = 0; i < entries_per_zone; i++) {
                const auto n = m_entries.size() + 1;
                entry it;
                it.name = "front-" + zone + "-" + std::to_string(i + 1);
                it.zone = zone;
                it.host = m_network + ".2." + std::to_string(n);
                it.peer_port = 7720 + (with_links ? 16 * static_cast<int>(n - 1) : 0);
                m_entries.push_back(it);
            }
        }
        if (with_links) {
            for (std::size_t i = 0; i < m_entries.size(); i++) {
                for (std::size_t j = 0; j < m_entries.size(); j++) {
                    if (i != j) {
                        m_links[{i, j}] = std::make_unique<link>(
                            m_entries[i].host, m_entries[i].peer_port, m_entries[j].host,
                            m_entries[j].peer_port);
                    }
                }
            }
        }
    }
    ~deployment() {
        for (std::size_t i = 0; i < m_entries.size(); i++) {
            kill_entry(i, SIGKILL);
        }
        m_links.clear();
        m_store.stop();
        m_executors.clear();
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(m_folder);
        }
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    store& rows() { return m_store; }
    start_log& starts() { return m_starts; }
    const entry& at(std::size_t i) const { return m_entries.at(i); }
    std::size_t size() const { return m_entries.size(); }
    std::string folder() const { return m_folder; }

    void configure(int version, const std::vector<std::pair<std::string, std::string>>& queues) {
        json routes = json::array();
        for (const auto& [name, prefix] : queues) {
            routes.push_back({{"name", name},
                              {"host", "h.example"},
                              {"prefix", prefix},
                              {"kind", "unsafe"},
                              {"timeoutMs", 1500},
                              {"targetDurationMs", 60},
                              {"priority", 0},
                              {"service", "booking"},
                              {"maxAttempts", 3},
                              {"stretch", 1.6}});
        }
        m_store.put("op", "config",
                    json{{"version", version},
                         {"routes", routes},
                         {"services",
                          {{{"name", "booking"},
                            {"healthPath", "/health"},
                            {"maxConns", 64},
                            {"protocol", "h1"},
                            {"tls", false},
                            {"rejectsOverload", true},
                            {"spare", false}}}},
                         {"limits",
                          {{"maxHeaderBytes", 16384},
                           {"maxBodyBytes", 262144},
                           {"headerTimeoutMs", 3000},
                           {"idleTimeoutMs", 15000}}}}
                        .dump());
        record::line("the operator writes configuration " + std::to_string(version));
    }

    void start_entry(std::size_t i) {
        auto& it = m_entries.at(i);
        const auto path = m_folder + "/" + it.name + ".toml";
        std::ofstream(path) << settings(it);
        const auto log = m_folder + "/" + it.name + ".log";
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&files, 1, 2);
        const std::string boot = "SAVORYTRAIL_BOOT=" + path;
        const std::string search = std::string("PATH=") + std::getenv("PATH");
        const char* program = "target/bin/savory-platform-entry";
        char* const arguments[] = {const_cast<char*>(program), nullptr};
        char* const environment[] = {const_cast<char*>(boot.c_str()),
                                     const_cast<char*>(search.c_str()), nullptr};
        if (posix_spawn(&it.pid, program, &files, nullptr, arguments, environment) != 0) {
            throw std::runtime_error("cannot start target/bin/savory-platform-entry");
        }
        posix_spawn_file_actions_destroy(&files);
        {
            std::lock_guard lock(processes_mutex());
            processes().insert(it.pid);
        }
        it.started_at = now_ms();
        record::line("start of entry " + it.name + " at " + it.host);
    }
    void signal_entry(std::size_t i, int signal) {
        record::line("signal " + std::to_string(signal) + " to entry " + at(i).name);
        ::kill(at(i).pid, signal);
    }
    void kill_entry(std::size_t i, int signal) {
        auto& it = m_entries.at(i);
        if (it.pid == 0) {
            return;
        }
        ::kill(it.pid, signal);
        if (signal == SIGKILL) {
            ::kill(it.pid, SIGCONT);
        }
        ::waitpid(it.pid, nullptr, 0);
        {
            std::lock_guard lock(processes_mutex());
            processes().erase(it.pid);
        }
        it.pid = 0;
        record::line("entry " + it.name + " has ended (signal " + std::to_string(signal) + ")");
    }
    // Whether the entry's process has ended by itself since it was started, or this was last asked.
    bool has_ended_by_itself(std::size_t i) {
        auto& it = m_entries.at(i);
        int status = 0;
        if (it.pid == 0 || ::waitpid(it.pid, &status, WNOHANG) != it.pid) {
            return false;
        }
        {
            std::lock_guard lock(processes_mutex());
            processes().erase(it.pid);
        }
        it.pid = 0;
        record::line("entry " + it.name + " has ended by itself, " +
                     (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                          : "exit status " + std::to_string(WEXITSTATUS(status))));
        return true;
    }
    void cut_off(std::size_t i, bool is_cut) {
        for (auto& [ends, it] : m_links) {
            if (ends.first == i || ends.second == i) {
                it->cut(is_cut);
            }
        }
        record::line(std::string(is_cut ? "cut" : "end of the cut") +
                     " between entry " + at(i).name + " and all other entries");
    }

    reply call(std::size_t i, const std::string& method, const std::string& path,
               const std::string& body = "", int patience_ms = 1500, bool is_logged = true) {
        httplib::Client client(at(i).host, 8161);
        client.set_connection_timeout(2, 0);
        client.set_read_timeout(patience_ms / 1000, patience_ms % 1000 * 1000);
        client.set_tcp_nodelay(true);
        httplib::Request request;
        request.method = method;
        request.path = path;
        request.headers = {{"Host", "h.example"},
                           {"X-Savorytrail-Deadline-Ms", std::to_string(patience_ms)}};
        if (!body.empty()) {
            request.headers.emplace("Content-Type", "application/json");
            request.body = body;
        }
        if (is_logged) {
            record::line("client to " + at(i).name + ": " + method + " " + path + " " +
                         (body.size() > 2000 ? body.substr(0, 60) + "... (" +
                                                   std::to_string(body.size()) + " bytes)"
                                             : body));
        }
        const auto result = client.send(request);
        const reply it =
            result ? reply{result->status, result->body} : reply{0, httplib::to_string(result.error())};
        if (is_logged) {
            record::line(at(i).name + " to client: " + method + " " + path + " -> " +
                         (it.status == 0 ? "no answer" : std::to_string(it.status)) + " " + it.body);
        }
        return it;
    }
    bool is_ready(std::size_t i) {
        httplib::Client client(at(i).host, 8167);
        client.set_connection_timeout(1, 0);
        client.set_read_timeout(1, 0);
        const auto it = client.Get("/-/ready");
        return it && it->status == 200;
    }
    // Until all entries given are ready and serve a job.
    bool wait_until_serving(const std::string& prefix, const std::vector<std::size_t>& entries) {
        for (const auto i : entries) {
            const auto end = now_ms() + 15000;
            bool serves = false;
            while (!serves && now_ms() < end) {
                serves = is_ready(i) && call(i, "POST", prefix + next_id(), job({{1, 100, 20}}), 1500,
                                             false)
                                                .status == 200;
                sleep_ms(50);
            }
            if (!serves) {
                return false;
            }
        }
        return true;
    }

    struct step {
        int count = 1;
        int cpu = 27000;
        int ms = 900;
    };
    // A job of steps that follow each other. All tasks take what the first step says.
    static std::string job(const std::vector<step>& steps) {
        json body{{"spec", std::to_string(steps[0].cpu) + " " + std::to_string(steps[0].ms)},
                  {"bestEffort", true},
                  {"steps", json::array()}};
        for (std::size_t i = 0; i < steps.size(); i++) {
            json it{{"count", steps[i].count},
                    {"cpu", steps[i].cpu},
                    {"memMb", 64},
                    {"estimateMs", steps[i].ms}};
            if (i > 0) {
                it["after"] = {i - 1};
            }
            body["steps"].push_back(std::move(it));
        }
        return body.dump();
    }
    static std::string next_id() {
        static std::atomic<unsigned> s_next = 1;
        char text[32];
        std::snprintf(text, sizeof text, "%08x%08x", 0x5c0e7a21u, s_next++);
        return text;
    }

private:
    // A network 127.N that no other case uses at the same time: each holds a socket there. The
    // project's tests use 127.100 to 127.199.
    static std::string free_network() {
        for (int i = 0; i < 80; i++) {
            const auto network = "127." + std::to_string(20 + (getpid() + i) % 80);
            const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            sockaddr_in at{};
            at.sin_family = AF_INET;
            at.sin_port = htons(8168);
            inet_pton(AF_INET, (network + ".0.1").c_str(), &at.sin_addr);
            if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
                return network; // the socket is held until the process ends
            }
            ::close(fd);
        }
        throw std::runtime_error("no free network");
    }
    std::string settings(const entry& it) const {
        std::string seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(3, m_entries.size()); i++) {
            seeds += (i == 0 ? "\"" : ",\"") + m_entries[i].host + ":8166\"";
        }
        std::string zones;
        for (const auto& zone : m_zones) {
            zones += zone + " = \"sk-central\"\n";
        }
        return "node = \"" + it.name + "\"\nrole = \"entry\"\nclass = \"front\"\n" +
               "serves = [\"front\",\"control\"]\nip = \"" + it.host + "\"\nzone = \"" + it.zone +
               "\"\nregion = \"sk-central\"\nportRange = [" + std::to_string(it.peer_port) + "," +
               std::to_string(it.peer_port + 15) + "]\nseeds = [" + seeds +
               "]\nbootstrap = true\nlossCounts = false\ndiscovery = \"platform\"\nentry = \"vip\"\n"
               "heartbeatMs = 1500\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\","
               "\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\norders = \"call\"\n"
               "advice = \"" + m_network + ".0.2:8169\"\n[zones]\n" + zones +
               "[listen]\nfront = \"" + it.host + ":8161\"\nready = \"" + it.host +
               ":8167\"\ncontrol = \"" + it.host + ":8166\"\n"
               "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
               "linkMbps = 1000.0\ndiskMb = 0\n[tolerate]\nmachines = 2\nzones = 1\nregions = 0\n"
               "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\n"
               "catchUpS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigMs = 2000\n"
               "rollbackSlackMs = 250\nmaxSkewMs = 5000\nrecoverS = 12\nholdMaxMs = 1000\n"
               "stopMs = 50\ngangMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n"
               "finish_s = 14\nstatus_s = 120\nfarX = 3\nsaveS = 2\nrestoreMs = 600\n"
               "noticeMs = 4500\nmoveS = 1.5\nupkeepS = 2\nfencingRequired = false\n"
               "leaseMs = 3000\nthawSlackMs = 300\npaceMs = 100\nharmMs = 4000\nresendMs = 1300\n"
               "[platform]\naddress = \"" + m_network + ".0.1:8169\"\nform = \"table\"\n"
               "writesPerS = 600\nreadsPerS = 2000\ntxMs = 3.0\npartWritesS = 300\n"
               "rowBytes = 65536\nacross = true\nhistoryS = 20\nblobBytes = 8388608\n"
               "blobMs = 25.0\nblobMbS = 80.0\n[cloud]\naddress = \"" + m_network +
               ".0.3:8169\"\nratePerS = 60.0\nduties = []\ndutyPerS = 60.0\n";
    }

    const std::string m_network;
    const std::vector<std::string> m_zones;
    std::string m_folder;
    start_log m_starts;
    store m_store;
    std::vector<std::unique_ptr<executor>> m_executors;
    std::vector<entry> m_entries;
    std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<link>> m_links;
};

inline bool has_trouble() {
    const char* it = std::getenv("TROUBLE");
    return it == nullptr || std::string(it) != "0";
}

constexpr std::int64_t longest_case_ms = 100000;

// Runs a case: 0 the rule held, 1 it was broken, 2 the case couldn't run.
inline int run_case(const char* record_path, const std::function<int()>& body) {
    ::signal(SIGPIPE, SIG_IGN);
    record::open(record_path);
    record::line(std::string("disruption: ") + (has_trouble() ? "yes" : "no (TROUBLE=0)"));
    std::thread([] {
        sleep_ms(longest_case_ms);
        std::lock_guard lock(processes_mutex());
        for (const auto pid : processes()) {
            ::kill(pid, SIGKILL);
        }
        record::line("the case took too long");
        std::_Exit(2);
    }).detach();
    int result = 2;
    try {
        result = body();
    } catch (const std::exception& e) {
        record::line(std::string("the case could not run: ") + e.what());
    }
    record::line("result: " + std::to_string(result));
    return result;
}

} // namespace review
