#include "unit_tests/cells/simulated_entry.h"

#include <algorithm>

#include "core/gateway/forwarding_codec.h"
#include "unit_tests/cells/simulated_fleet.h"

namespace savorytrail::cells {
namespace {

using common::milliseconds;

// As in platform/entry_node.cpp and core/gateway/forwarding_http.cpp.
constexpr milliseconds heartbeat_check_period{50};
constexpr milliseconds tick_period{40};
constexpr milliseconds outcome_slack{200};
constexpr milliseconds abandon_timeout{300};

// The platform's bounds.
constexpr milliseconds longest_lease{1000};
constexpr std::uint32_t cpu_share_millis = 250;

reactor::http_request post(const char* path, std::string body) {
    reactor::http_request request;
    request.method = "POST";
    request.target = path;
    request.body = std::move(body);
    return request;
}

cell::limits own_limits() {
    return cell::limits_for(longest_lease, simulated_callers::resend_delay);
}

std::int64_t wall_ms(simulated_fleet& fleet) {
    return std::chrono::duration_cast<milliseconds>(fleet.time().now().time_since_epoch()).count();
}

fleet::entry_identity own_identity(const simulated_fleet& fleet, int slot,
                                   std::uint64_t incarnation) {
    return {simulated_entry::name_of(slot), simulated_fleet::domain_name(fleet.domain_of(slot)),
            simulated_network::address_of(slot).host, incarnation, cpu_share_millis};
}

} // namespace

simulated_entry::simulated_entry(simulated_fleet& fleet, int slot, std::uint64_t incarnation)
    : m_fleet(fleet), m_slot(slot), m_fences(static_cast<std::uint8_t>(slot)),
      m_stalls(*this, own_limits().catch_up_after), m_random(fleet.random()()),
      m_orders(fleet, *this),
      m_manager(
          own_limits(), *this, m_orders,
          [this](cell::claim_attempt it) { return m_fences.next(it, wall_ms(m_fleet)); }, *this),
      m_dispatcher(own_limits(), *this, m_manager, *this),
      m_view(own_identity(fleet, slot, incarnation), simulated_network::address_of(slot).port, {},
             now()),
      m_gateway(*this, m_stalls, m_view, m_dispatcher, *this, *this, m_random),
      m_forwarding_service(
          *this, m_view, m_dispatcher, *this, own_limits().job_lease,
          [this](const auto& entry, const auto& bytes) { send_to(entry, bytes); }) {
    m_orders.attach(m_manager);
    m_fleet.network().attach(*this);
    std::vector<work::executor_info> own_domain;
    for (int i = 0; i < m_fleet.executors(); i++) {
        if (m_fleet.executor_domain(i) == m_fleet.domain_of(slot)) {
            own_domain.push_back(m_fleet.executor(i).info());
        }
    }
    m_assignment.set_executors(std::move(own_domain));
    for (int other = 0; other < m_fleet.entries(); other++) {
        const auto domain = simulated_fleet::domain_name(m_fleet.domain_of(other));
        m_view.add_entry({name_of(other), domain, simulated_network::address_of(other).host});
    }
    m_view.note_entries_listed(now());
    after(milliseconds(0), [this] { send_heartbeats(); });
    after(milliseconds(m_fleet.pick(static_cast<int>(heartbeat_check_period.count()))),
          [this] { every(heartbeat_check_period, [this] { send_heartbeats(); }); });
    after(milliseconds(m_fleet.pick(static_cast<int>(tick_period.count()))),
          [this] { every(tick_period, [this] { tick(); }); });
}

common::time_point simulated_entry::now() const {
    const auto now = m_fleet.time().now();
    if (m_is_paused) {
        return now - m_total_suspended;
    }
    return std::max(now, m_frozen_until) - m_total_suspended;
}

bool simulated_entry::is_running() const {
    return !m_has_ended && m_fleet.time().now() >= m_frozen_until;
}

void simulated_entry::freeze(milliseconds time, bool is_pause) {
    if (!is_running()) {
        return;
    }
    m_frozen_until = m_fleet.time().now() + time;
    m_is_paused = is_pause;
    m_total_suspended += is_pause ? milliseconds(0) : time;
}

void simulated_entry::end(bool with_power) {
    m_has_ended = true;
    m_has_power = with_power;
    m_fleet.network().on_ended(*this);
}

void simulated_entry::deliver(std::function<void()> work) {
    if (m_has_ended) {
        return;
    }
    if (!is_running()) {
        m_fleet.time().after(m_frozen_until - m_fleet.time().now(),
                             [this, work = std::move(work)] { deliver(work); });
        return;
    }
    work();
}

void simulated_entry::after(milliseconds delay, std::function<void()> work) {
    wait_until(now() + delay, std::move(work));
}

void simulated_entry::wait_until(common::time_point at, std::function<void()> work) {
    const milliseconds lateness(max_timer_lateness.count() == 0
                                    ? 0
                                    : m_fleet.pick(static_cast<int>(max_timer_lateness.count())));
    const auto left = std::max(at - now(), common::time_point::duration(0));
    m_fleet.time().after(left + lateness, [this, at, work = std::move(work)] {
        deliver([this, at, work] {
            if (now() < at) {
                wait_until(at, work); // the clock stood still meanwhile
            } else {
                work();
            }
        });
    });
}

void simulated_entry::every(milliseconds period, const std::function<void()>& work) {
    work();
    after(period, [this, period, work] { every(period, work); });
}

void simulated_entry::check_for_stall() {
    const auto elapsed = m_stalls.since_last_tick();
    if (elapsed > own_limits().catch_up_after) {
        m_view.note_stall(elapsed, now());
        m_fleet.note(name() + " loop_stalled " + std::to_string(elapsed.count()));
    }
    m_stalls.tick();
}

void simulated_entry::tick() {
    check_for_stall();
    for (const auto& lost : m_view.refresh(now())) {
        m_fleet.note(name() + " entry_lost " + lost);
        m_gateway.on_entry_lost(lost);
        m_forwarding_service.on_entry_lost(lost);
    }
    assign();
    m_gateway.tick();
    m_manager.tick();
    m_dispatcher.tick();
    m_forwarding_service.tick();
}

// As in platform/executor_assigner.cpp, without adoption.
void simulated_entry::assign() {
    if (!m_view.has_settled(now())) {
        return;
    }
    std::set<std::string> held_here;
    for (const auto& [id, it] : m_manager.executors()) {
        if (it->state != cell::claim_state::lost) {
            held_here.insert(id);
        }
    }
    if (m_assignment.update(m_view, held_here, now())) {
        m_manager.assign(m_assignment.own_executors());
    }
}

std::vector<std::uint64_t> simulated_entry::held_keys() const {
    std::vector<std::uint64_t> keys;
    for (const auto& [id, it] : m_manager.executors()) {
        if (it->state == cell::claim_state::held) {
            keys.push_back(fleet::executor_key(id));
        }
    }
    return keys;
}

fleet::entry_status simulated_entry::own_status() const {
    const auto load = m_dispatcher.load();
    fleet::entry_status it;
    it.knows_executors = true;
    it.configuration_version = 1;
    it.executor_list_version = 1;
    it.domain_executors = static_cast<std::uint32_t>(m_assignment.executor_count());
    it.load = {load.capacity_cpu_millis, load.usable_cpu_millis, load.backlog_ms};
    return it;
}

void simulated_entry::send_heartbeats() {
    m_view.set_status(own_status());
    auto shared = m_view.shared();
    shared.crashes = m_dispatcher.crashes().to_share(now());
    m_view.set_shared(std::move(shared));
    for (const auto& out : m_heartbeats.due(held_keys(), now())) {
        m_fleet.network().send_datagram(*this, out.to, encode(out.content));
    }
}

void simulated_entry::send_to(const std::string& entry, const std::string& bytes) {
    if (const auto* it = m_view.find(entry)) {
        m_fleet.network().send_datagram(*this, it->address, bytes);
    }
}

void simulated_entry::on_datagram(const std::string& bytes, const common::endpoint& from) {
    if (const auto it = gateway::decode_lease_request(bytes)) {
        if (!m_stalls.is_catching_up()) {
            send_to(it->dispatcher, encode(m_gateway.grant_leases(*it)));
        }
        return;
    }
    if (const auto it = gateway::decode_lease_answer(bytes)) {
        m_forwarding_service.receive(*it);
        return;
    }
    const auto it = fleet::decode_heartbeat(bytes);
    if (!it) {
        m_fleet.violations.push_back(name() + " received a datagram of no known kind");
        return;
    }
    const auto learnt = m_view.receive(*it, from.host, now());
    m_dispatcher.learn_crashes(it->shared.crashes);
    for (const auto& restarted : learnt.restarted) {
        m_fleet.note(name() + " entry_lost " + restarted + ", restarted");
        m_gateway.on_entry_lost(restarted);
    }
    for (const auto& updated : learnt.updated) {
        m_gateway.on_load_learnt(updated);
    }
    if (!learnt.seen.empty()) {
        send_heartbeats();
    }
}

void simulated_entry::on_request(const reactor::http_request& request,
                                 const std::shared_ptr<reactor::responder>& answer) {
    m_fleet.note(name() + " receives " + request.target);
    if (!m_forwarding_service.handle(request, answer)) {
        answer->send({404, {}, "", "text/plain"});
    }
}

std::uint64_t simulated_entry::submit(const work::job& job, cell::done_callback done) {
    return m_gateway.submit(job, std::move(done));
}

// The same requests, time-outs and errors as of gateway::http_forwarding_client.
gateway::forwarding_client::canceller
simulated_entry::forward(const common::endpoint& to, const gateway::passed_job& it, callback done) {
    return m_fleet.network().send_request(
        *this, to, post("/jobs", encode(it)), it.job.patience + outcome_slack,
        [done = std::move(done)](const common::result<reactor::http_response>& response) {
            if (!response) {
                done(response.error());
                return;
            }
            const auto outcome = gateway::decode_outcome(response.value().body);
            if (response.value().status != 200 || !outcome) {
                done(make_error_code(common::error::malformed));
                return;
            }
            done(*outcome);
        });
}

void simulated_entry::abandon(const common::endpoint& to, const gateway::abandoned_job& it) {
    m_fleet.network().send_request(*this, to, post("/abandoned", encode(it)), abandon_timeout,
                                   [](const auto&) {});
}

void simulated_entry::executor_changed(const std::string& executor, std::string_view event,
                                       std::string_view reason) {
    m_fleet.note(name() + " " + executor + " " + std::string(event) + ": " + std::string(reason));
}

void simulated_entry::job_event(const std::string& job, std::string_view event,
                                const std::string& detail) {
    m_fleet.note(name() + " " + job + " " + std::string(event) + ": " + detail);
    if (event == "job_passed") {
        m_fleet.passed_to[job] = detail;
    }
}

} // namespace savorytrail::cells
