// Construction, start and planned stop of an entry.
#include "core/entry/entry.h"

#include <grpcpp/impl/codegen/service_type.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "core/entry/gauges.h"
#include "core/entry/shares.h"
#include "core/handover/hand_over.h"
#include "core/handover/service.h"
#include "core/propagation/service.h"
#include "core/story/story_json.h"
#include "core/telemetry/log.h"

namespace savorytrail::entry {
namespace {

using telemetry::log_line;
using telemetry::severity;

constexpr common::milliseconds tick_period{20};
constexpr common::milliseconds share_period{100};
constexpr common::milliseconds drain_poll_interval{10};
constexpr int table_calls_per_claim = 2; // a commit, and reading the row back
constexpr common::milliseconds peer_stop_grace{500};

common::milliseconds ms(std::uint32_t n) {
    return common::milliseconds(n);
}

// Addresses in settings were validated on load, so parsing cannot fail here.
common::endpoint endpoint_of(const std::string& text) {
    return common::parse_endpoint(text).value();
}

front::api_limits make_front_limits(const schema::entry_settings& settings) {
    const auto& callers = settings.callers();
    front::api_limits limits;
    limits.server.connections = callers.threads();
    limits.server.max_body_bytes = callers.max_body_bytes();
    limits.server.header_time = ms(callers.read_timeout_ms());
    limits.server.body_time = ms(callers.read_timeout_ms());
    limits.server.write_time = ms(callers.read_timeout_ms());
    limits.job.max_task_body_bytes = callers.max_task_body_bytes();
    limits.max_ids_per_call = settings.submissions().max_ids_per_call();
    limits.max_wait = ms(callers.max_wait_ms());
    return limits;
}

common::milliseconds wall_clock_now() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<common::milliseconds>(now);
}

platform::client_options make_platform_options(const schema::entry_settings& settings) {
    return {common::parse_http_url(settings.platform().url()).value(),
            ms(settings.platform().call_timeout_ms()), settings.node().name()};
}

// In numbers of heartbeat intervals. Entries of other failure domains send heartbeats rarely, so
// they get a longer time.
constexpr int heartbeats_until_orphaned = 15;
constexpr int heartbeats_until_other_domain_suspected = 60;

membership::view_limits make_view_limits(const schema::entry_settings& settings) {
    membership::view_limits limits;
    limits.heartbeat = ms(settings.peers().heartbeat_ms());
    limits.suspect_after = ms(settings.peers().suspect_after_ms());
    limits.orphan_after = heartbeats_until_orphaned * limits.heartbeat;
    limits.suspect_other_after = heartbeats_until_other_domain_suspected * limits.heartbeat;
    return limits;
}

membership::node make_node(const schema::entry_settings& settings) {
    const auto& node = settings.node();
    return {node.name(), node.failure_domain(), node.region()};
}

propagation::follower_options make_follower_options(const schema::entry_settings& settings,
                                                    const submission::incarnation& self) {
    propagation::follower_options options;
    options.self = self;
    options.listen = endpoint_of(settings.peers().listen());
    options.poll = ms(settings.platform().poll_ms());
    options.call_timeout = ms(settings.peers().call_timeout_ms());
    for (const auto& it : settings.peers().seeds())
        options.seeds.push_back(endpoint_of(it.address()));
    return options;
}

} // namespace

entry::entry(const schema::entry_settings& settings)
    : m_settings(settings),
      m_ids(settings.node().name(), m_clock, m_random, ms(settings.submissions().id_lifetime_ms())),
      m_ledger({settings.submissions().max_remembered(), settings.submissions().max_kept_bytes()}),
      m_dispatcher(settings.dispatch().policy(), {settings.dispatch().max_queued_tasks()}),
      m_stories(m_clock, wall_clock_now(),
                {settings.story().max_submissions(), settings.story().max_events()}),
      m_telemetry_observer(m_clock, m_metrics, m_stories),
      m_requester(
          m_clock,
          {settings.dispatch().upstream_threads(), ms(settings.dispatch().connect_timeout_ms())},
          [this](const home::outgoing_task& task, home::task_outcome outcome) {
              m_home.task_done(task, std::move(outcome));
          }),
      m_home(m_ids, m_ledger, m_dispatcher, m_clock, {},
             [this](home::outgoing_task task) { m_requester.send(std::move(task)); }),
      m_platform(make_platform_options(settings), [this] { m_metrics.count_message("platform"); }),
      m_view(make_node(settings), make_view_limits(settings)),
      m_peers(m_channels, ms(settings.peers().call_timeout_ms()),
              [this] { m_metrics.count_message("forward"); }),
      m_loans(m_dispatcher, m_channels, m_clock,
              {settings.node().name(), m_ids.self(), ms(settings.peers().call_timeout_ms())},
              {[this](std::vector<dispatch::task_start> starts) {
                   m_home.send_starts(std::move(starts));
               },
               [this](const std::string& vm) { return address_of(vm); },
               [this](const std::string& vm) { return m_directory.takes_new_work(vm); },
               [this] { m_metrics.count_message("loan"); }}),
      m_heartbeat_exchange(m_configuration, m_view, m_loans, m_home, m_clock),
      m_successors(m_platform, m_clock),
      m_inherited(m_clock, {settings.submissions().max_kept_bytes()}),
      m_handover(m_channels, ms(settings.peers().call_timeout_ms())),
      m_home_handler(
          m_home, m_ids, m_inherited,
          {[this](const auto& id, const auto& at) { m_telemetry_observer.received(id, at); },
           [this](const auto& id) { return story_json(id); }}),
      m_forward_service(peer::make_forward_service(m_home_handler)),
      m_handover_service(handover::make_service(m_inherited, m_successors, m_ids.self())),
      m_loan_service(m_loans.make_service()),
      m_membership_service(propagation::make_service(m_configuration, m_directory)),
      m_router(settings.node().name(), m_home_handler, m_peers, m_directory, m_successors,
               {[this] { m_metrics.count_forwarded(); },
                [this](const job::answer& it) {
                    m_metrics.count_answer(job::to_string(it.state), job::to_string(it.why));
                }}),
      m_claimer(m_platform, m_clock, {}),
      m_keyed_router(m_ids, m_claimer, m_router,
                     table_calls_per_claim * ms(settings.platform().call_timeout_ms()),
                     home::home_limits().default_deadline),
      m_front(make_front_limits(settings), m_ids, m_router, m_keyed_router,
              {[this] { return is_ready(); }, [this] { return status_json(); },
               [this] { return metrics_text(); }}),
      m_follower(
          make_follower_options(settings, m_ids.self()),
          {m_platform, m_platform, m_channels, m_configuration, m_directory, m_view, m_clock},
          [this](membership::heartbeat& it) { m_heartbeat_exchange.add_to(it); },
          [this](std::string_view kind) { m_metrics.count_message(kind); }) {
    m_home.set_observer(m_telemetry_observer);
    m_configuration.subscribe([this](const configuration::holder::pointer& it) {
        const std::shared_ptr<const manifest::manifest> value(it, &it->value);
        m_home.apply(value);
        m_loans.apply(value);
        log_line(severity::info, "configuration_in_force")
            .field("version", static_cast<std::int64_t>(it->version));
    });
}

entry::~entry() {
    m_stop_threads = true;
    if (m_share_thread.joinable())
        m_share_thread.join();
    if (m_tick_thread.joinable())
        m_tick_thread.join();
    m_loans.stop();
    m_requester.shut_down();
}

std::error_code entry::start() {
    if (const auto ec = m_peer_server.start(endpoint_of(m_settings.peers().listen()),
                                            {m_forward_service.get(), m_handover_service.get(),
                                             m_loan_service.get(), m_membership_service.get()}))
        return ec;
    if (const auto ec = m_front.start(endpoint_of(m_settings.callers().listen())))
        return ec;
    if (const auto ec = m_follower.start())
        return ec;
    m_share_thread = std::thread([this] { run_share_loop(); });
    m_tick_thread = std::thread([this] { run_tick_loop(); });
    m_loans.start();
    log_line(severity::info, "entry_started")
        .field("incarnation", submission::to_string(m_ids.self()))
        .field("callers", m_settings.callers().listen())
        .field("peers", m_settings.peers().listen());
    return {};
}

bool entry::stop() {
    const auto start_time = m_clock.now();
    const auto grace = ms(m_settings.dispatch().stop_grace_ms());
    log_line(severity::info, "stop_begun")
        .field("tasks_in_flight", static_cast<std::int64_t>(m_home.tasks_in_flight()));
    m_is_stopping = true;
    m_follower.announce(membership::entry_state::stopping);
    m_front.stop_issuing();
    m_home.stop_admitting();
    while (m_home.open_submissions() > 0 || m_home.tasks_in_flight() > 0) {
        if (m_clock.now() - start_time >= grace)
            break;
        std::this_thread::sleep_for(drain_poll_interval);
    }
    hand_over_submissions();
    // Callers may still be waiting for submissions whose home is another entry.
    const auto elapsed =
        std::chrono::duration_cast<common::milliseconds>(m_clock.now() - start_time);
    const bool is_drained = m_front.drain(std::max(grace - elapsed, peer_stop_grace));
    const bool is_clean = is_drained && m_home.tasks_in_flight() == 0;
    m_peer_server.stop(peer_stop_grace);
    m_follower.announce(membership::entry_state::left);
    log_line(is_clean ? severity::info : severity::warning, "stop_ended")
        .field("tasks_in_flight", static_cast<std::int64_t>(m_home.tasks_in_flight()));
    return is_clean;
}

void entry::hand_over_submissions() {
    m_inherited.close();
    m_home.close();
    auto snapshots = m_inherited.snapshots();
    snapshots.push_back(handover::make_snapshot(m_ids, m_ledger, m_clock.now()));
    snapshots.back().keys = m_claimer.take_pending_deletions();
    const auto& node = m_settings.node();
    const auto candidates = handover::successor_candidates(m_directory.live_entries(), node.name(),
                                                           node.failure_domain());
    const auto successor = handover::hand_over(m_handover, m_successors, candidates, snapshots,
                                               std::chrono::system_clock::now());
    log_line(successor ? severity::info : severity::warning, "handed_over")
        .field("heir", successor ? successor->vm : "none")
        .field("submissions", static_cast<std::int64_t>(snapshots.back().records.size()));
}

void entry::run_share_loop() {
    while (!m_stop_threads) {
        refresh_shares();
        m_heartbeat_exchange.refresh();
        m_requester.close_stale();
        std::this_thread::sleep_for(share_period);
    }
}

void entry::refresh_shares() {
    const auto current = m_configuration.current();
    if (!current)
        return;
    auto inputs = collect_share_inputs(*current, m_directory, m_view, m_clock.now());
    if (inputs == m_share_inputs)
        return;
    m_share_inputs = std::move(inputs);

    absl::flat_hash_map<std::string, std::vector<dispatch::executor_share>> shares;
    for (const auto& it : current->value.upstreams)
        shares[it.name] = compute_own_shares(it, m_share_inputs, m_view.self(), m_directory);
    for (const auto& [name, before] : m_shares)
        shares.try_emplace(name); // an upstream removed from the manifest has no executors
    for (const auto& [name, it] : shares) {
        if (m_shares.contains(name) && m_shares[name] == it)
            continue;
        m_home.set_executors(name, it);
        log_line(severity::info, "executors_changed")
            .field("upstream", name)
            .field("executors", static_cast<std::int64_t>(it.size()));
    }
    m_shares = std::move(shares);
    m_has_shares = true;
}

std::vector<std::string> entry::live_entries() const {
    return m_view.live_entries(m_view.self().failure_domain, m_clock.now());
}

std::optional<common::endpoint> entry::address_of(const std::string& vm) const {
    const auto found = m_directory.find(vm);
    return found ? found->address : std::nullopt;
}

void entry::run_tick_loop() {
    while (!m_stop_threads) {
        m_home.tick();
        for (const auto& it : m_inherited.forget_expired())
            m_claimer.delete_after(m_clock.now(), it);
        m_successors.forget_expired();
        telemetry::report_suppressed_lines();
        std::this_thread::sleep_for(tick_period);
    }
}

bool entry::is_ready() const {
    return !m_is_stopping && m_has_shares && m_follower.has_caught_up();
}

std::string entry::status_json() const {
    const auto remembered = m_ledger.size();
    nlohmann::json status = {{"vm", m_settings.node().name()},
                             {"failure_domain", m_settings.node().failure_domain()},
                             {"region", m_settings.node().region()},
                             {"incarnation", submission::to_string(m_ids.self())},
                             {"ready", is_ready()},
                             {"stopping", m_is_stopping.load()},
                             {"configuration_version", m_configuration.version()},
                             {"live_list_revision", m_directory.revision()},
                             {"live_entries", live_entries()},
                             {"remembered_submissions", remembered.records},
                             {"remembered_bytes", remembered.bytes},
                             {"running_tasks", m_home.tasks_in_flight()}};
    std::size_t queued = 0;
    for (const auto& it : m_dispatcher.status()) {
        queued += it.queued_tasks;
        status["upstreams"].push_back({{"name", it.upstream},
                                       {"queued_tasks", it.queued_tasks},
                                       {"running_tasks", it.running_tasks},
                                       {"slots", it.slots},
                                       {"ejected_executors", it.ejected_executors}});
    }
    status["queued_tasks"] = queued;
    return status.dump();
}

std::string entry::metrics_text() const {
    const auto current = m_configuration.current();
    telemetry::exposition out;
    m_metrics.write(out);
    write_gauges({m_ledger.size(), m_home.tasks_in_flight(), m_configuration.version(),
                  m_dispatcher.status(), current ? &current->value.objectives : nullptr},
                 out);
    return out.text();
}

std::string entry::story_json(const submission::submission_id& id) const {
    const auto it = m_stories.find(id);
    return it ? story::to_json(*it, submission::to_string(id), m_settings.node().name()) : "";
}

} // namespace savorytrail::entry
