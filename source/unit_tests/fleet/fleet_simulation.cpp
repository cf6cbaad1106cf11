// Executes the commands.
#include "unit_tests/fleet/fleet_simulation.h"

#include <algorithm>

namespace savorytrail::fleet {
namespace {

constexpr std::array<const char*, 3> vm_names = {"zilina-1", "zilina-2", "martin-1"};
constexpr std::array<const char*, 3> domains = {"zilina", "zilina", "martin"};
constexpr std::array<int, 6> time_steps_ms = {1, 5, 20, 100, 300, 1200};

template <typename T>
typename T::value_type remove_at(T& from, int n) {
    const auto it = from.begin() + n % static_cast<int>(from.size());
    auto value = std::move(*it);
    from.erase(it);
    return value;
}

} // namespace

std::ostream& operator<<(std::ostream& out, const command& it) {
    return out << "{action(" << static_cast<int>(it.kind) << "), " << it.a << ", " << it.b << ", "
               << it.c << "}";
}

fleet_simulation::fleet_simulation() : m_oracle(m_clock, id_lifetime) {
    for (int i = 0; i < vm_count; i++) {
        m_networks.at(i) = std::make_unique<simulated_network>(*this, i);
        start(i);
    }
}

fleet_simulation::~fleet_simulation() = default;

void fleet_simulation::execute(const command& it) {
    entry_instance* at = responsive_entry(it.a);
    const int vm = it.a % vm_count;
    switch (it.kind) {
    case action::submit:
        return submit_new(it);
    case action::resubmit:
        return resubmit(it);
    case action::submit_key:
        return submit_key(it);
    case action::issue:
        return issue(it);
    case action::query:
        return ask(it, peer::request_kind::query);
    case action::cancel:
        return ask(it, peer::request_kind::cancel);
    case action::run_task:
        return run_task(it);
    case action::finish_task:
        return finish_task(it);
    case action::refuse_task:
        return refuse_task(it);
    case action::unexpected_start:
        return unexpected_start(it);
    case action::deliver:
        return deliver(it);
    case action::network_fault:
        m_next_fault = static_cast<network_fault>(it.a % 5);
        return;
    case action::partition:
        m_partitions.insert({vm, it.b % vm_count});
        return;
    case action::clear_partitions:
        m_partitions.clear();
        return;
    case action::crash:
        m_entries.at(vm) = nullptr;
        return;
    case action::restart:
        return start(vm);
    case action::freeze:
        if (at != nullptr)
            at->is_frozen = true;
        return;
    case action::unfreeze:
        if (m_entries.at(vm))
            m_entries.at(vm)->is_frozen = false;
        return;
    case action::stop:
        if (at != nullptr) {
            at->is_stopping = true;
            at->home.stop_admitting();
        }
        return;
    case action::hand_over:
        if (at != nullptr && !at->is_closed)
            hand_over(*at);
        return;
    case action::table_fault:
        return table_fault(it);
    case action::refresh_list:
        return refresh_list(it);
    case action::set_manifest:
        if (at != nullptr)
            at->set_manifest(it.b % 3 != 0);
        return;
    case action::advance:
        return advance(it);
    case action::count_of_actions:
        return;
    }
}

void fleet_simulation::start(int vm) {
    entry_dependencies dependencies;
    dependencies.name = vm_names.at(vm);
    dependencies.serial = m_next_serial++;
    dependencies.clock_shift = common::milliseconds(77777 * vm);
    dependencies.sink = [this, serial = dependencies.serial](home::outgoing_task task) {
        m_sent.push_back({serial, std::move(task), false});
    };
    dependencies.peers = m_networks.at(vm).get();
    dependencies.table = &m_table;
    m_entries.at(vm) = nullptr; // at most one instance per address
    m_entries.at(vm) = std::make_unique<entry_instance>(dependencies, m_clock);
    platform::vm_changes list{1, true, {}};
    for (int i = 0; i < vm_count; i++)
        list.vms.push_back(vm_at(i));
    m_entries.at(vm)->directory.update(list);
}

entry_instance* fleet_simulation::responsive_entry(int n) {
    entry_instance* it = m_entries.at(n % vm_count).get();
    return it != nullptr && !it->is_frozen ? it : nullptr;
}

entry_instance* fleet_simulation::find_by_serial(int serial) {
    for (const auto& it : m_entries) {
        if (it && it->serial == serial)
            return it.get();
    }
    return nullptr;
}

job::job fleet_simulation::make_job(int n) {
    job::job it{"t", "u", common::milliseconds(n % 2 == 0 ? 0 : 500), {}};
    const int job_number = m_next_job++;
    for (int i = 0; i < 1 + n % 3; i++) {
        job::task task;
        task.path = "/";
        task.body = std::to_string(job_number) + "/" + std::to_string(i);
        it.tasks.push_back(task);
    }
    return it;
}

void fleet_simulation::submit(entry_instance& at, const submission::submission_id& id,
                              const job::job& job) {
    m_oracle.submitted(id, job);
    m_oracle.answered(id, &job, at.router.route({peer::request_kind::submit, id, job, {}, ""}));
}

void fleet_simulation::submit_new(const command& it) {
    issue(it);
    entry_instance* at = responsive_entry(it.b);
    if (at != nullptr && !m_ids.empty())
        submit(*at, m_ids.back(), m_jobs.back());
}

void fleet_simulation::resubmit(const command& it) {
    entry_instance* at = responsive_entry(it.a);
    if (at == nullptr || m_ids.empty())
        return;
    const std::size_t n = it.b % m_ids.size();
    submit(*at, m_ids[n], it.c % 5 == 0 ? make_job(it.c) : m_jobs[n]);
}

// Every submission under a key carries the same job.
void fleet_simulation::submit_key(const command& it) {
    entry_instance* at = responsive_entry(it.a);
    if (at == nullptr || at->is_stopping)
        return;
    const std::string key = claim::row_key("t", std::to_string(it.b % 3));
    const auto id = at->ids.issue(1).front();
    m_oracle.issued(id);
    const auto resolved = claim::resolve_claims(m_table, {{key, {id, "d"}}});
    if (!resolved.front())
        return;
    const auto& row = resolved.front().value().row;
    m_oracle.claimed(key, row.id);
    job::job job = make_job(1);
    for (auto& task : job.tasks)
        task.body = key;
    submit(*at, row.id, job);
}

void fleet_simulation::issue(const command& it) {
    entry_instance* at = responsive_entry(it.a);
    if (at == nullptr || at->is_stopping)
        return;
    m_ids.push_back(at->ids.issue(1).front());
    m_jobs.push_back(make_job(it.c));
    m_oracle.issued(m_ids.back());
}

void fleet_simulation::ask(const command& it, peer::request_kind kind) {
    entry_instance* at = responsive_entry(it.a);
    if (at == nullptr || m_ids.empty())
        return;
    const auto& id = m_ids[it.b % m_ids.size()];
    m_oracle.answered(id, nullptr, at->router.route({kind, id, std::nullopt, {}, ""}));
}

void fleet_simulation::run_task(const command& it) {
    if (m_sent.empty())
        return;
    const entry_instance* from = find_by_serial(m_sent[it.a % m_sent.size()].serial);
    if (from != nullptr && from->is_frozen)
        return;
    // The request of an instance that has crashed may still be in flight.
    sent_task sent = remove_at(m_sent, it.a);
    m_oracle.started(sent.task.start.id, *sent.task.body, sent.task.start.task);
    m_running.push_back(std::move(sent));
}

void fleet_simulation::finish_task(const command& it) {
    if (m_running.empty())
        return;
    entry_instance* from = find_by_serial(m_running[it.a % m_running.size()].serial);
    if (from == nullptr || from->is_frozen)
        return;
    const sent_task done = remove_at(m_running, it.a);
    home::task_outcome outcome;
    outcome.end = it.b % 12 == 0   ? submission::task_end::failed
                  : it.b % 12 == 1 ? submission::task_end::unknown
                                   : submission::task_end::answered;
    outcome.result.status = 200;
    outcome.result.body = echo(done.task.body->tasks[done.task.start.task]);
    report(*from, done, outcome);
}

// The dispatcher does not know of unexpected starts, so their outcome goes to the ledger directly.
void fleet_simulation::report(entry_instance& to, const sent_task& ended,
                              const home::task_outcome& outcome) {
    if (!ended.is_unexpected)
        return to.home.task_done(ended.task, outcome);
    to.ledger.end_task(ended.task.start.id, ended.task.start.task, outcome.end, outcome.result);
}

// The ledger alone must prevent a second start of a task, whatever the dispatcher requests.
void fleet_simulation::unexpected_start(const command& it) {
    entry_instance* at = responsive_entry(it.a);
    if (at == nullptr || m_ids.empty())
        return;
    home::outgoing_task task;
    task.start.id = m_ids[it.b % m_ids.size()];
    task.start.task = it.c % 3;
    task.body = at->ledger.begin_task(task.start.id, task.start.task);
    if (task.body)
        m_sent.push_back({at->serial, task, true});
}

void fleet_simulation::refuse_task(const command& it) {
    if (m_sent.empty())
        return;
    entry_instance* from = find_by_serial(m_sent[it.a % m_sent.size()].serial);
    if (from == nullptr || from->is_frozen)
        return;
    const sent_task refused = remove_at(m_sent, it.a);
    report(*from, refused, {submission::task_end::not_started, {}, {}});
}

void fleet_simulation::deliver(const command& it) {
    if (m_delayed.empty())
        return;
    const delayed_message message = remove_at(m_delayed, it.a);
    entry_instance* to = responsive_entry(message.to);
    if (to != nullptr)
        deliver_to(*to, message.request);
}

// No caller waits for the reply to a delayed or duplicated request, but the reply must be correct,
// even if a listener sends it much later.
void fleet_simulation::deliver_to(entry_instance& to, const peer::forward_request& request) {
    peer::forward_request copy = request;
    copy.wait = common::milliseconds(1);
    to.handler.handle(copy, [this, request](const peer::forward_result& result) {
        m_oracle.answered(request.id, request.job ? &*request.job : nullptr, result);
    });
}

void fleet_simulation::hand_over(entry_instance& from) {
    from.is_stopping = true;
    const auto snapshots = from.close();
    const auto place = std::find(vm_names.begin(), vm_names.end(), from.name);
    const auto vm = static_cast<std::size_t>(place - vm_names.begin());
    const auto candidates =
        handover::successor_candidates(from.directory.live_entries(), from.name, domains.at(vm));
    handover::hand_over(*m_networks.at(vm), from.successors, candidates, snapshots, {});
}

void fleet_simulation::table_fault(const command& it) {
    constexpr std::array<platform::fault, 4> faults = {{{common::error::unreachable, false},
                                                        {common::error::timed_out, false},
                                                        {common::error::timed_out, true},
                                                        {common::error::unavailable, false}}};
    const std::deque<platform::fault> next(1 + it.b % 3, faults.at(it.a % faults.size()));
    if (it.c % 3 != 0)
        m_table.fail_next_commits(next);
    if (it.c % 3 != 1)
        m_table.fail_next_reads(next);
}

void fleet_simulation::refresh_list(const command& it) {
    entry_instance* at = responsive_entry(it.a);
    if (at == nullptr)
        return;
    platform::vm_changes list{1, true, {}};
    for (int i = 0; i < vm_count; i++) {
        auto vm = vm_at(i);
        if (i == it.b % vm_count && it.c % 3 == 0)
            vm.state = platform::vm_state::gone;
        list.vms.push_back(vm);
    }
    at->directory.update(list);
}

void fleet_simulation::advance(const command& it) {
    m_clock.advance(common::milliseconds(time_steps_ms.at(it.a % time_steps_ms.size())));
    for (const auto& each : m_entries) {
        if (each && !each->is_frozen)
            each->tick();
    }
}

platform::vm fleet_simulation::vm_at(int n) const {
    platform::vm it;
    it.name = vm_names.at(n);
    it.failure_domain = domains.at(n);
    it.address = address_of(n);
    return it;
}

common::endpoint fleet_simulation::address_of(int vm) {
    return {"10.0.1." + std::to_string(vm + 1), 7000};
}

int fleet_simulation::vm_of(const common::endpoint& address) const {
    for (int i = 0; i < vm_count; i++) {
        if (address_of(i) == address)
            return i;
    }
    return 0;
}

entry_instance* fleet_simulation::simulated_network::find_target(const common::endpoint& to,
                                                                 network_fault& fault) {
    const int target = m_simulation.vm_of(to);
    fault = std::exchange(m_simulation.m_next_fault, network_fault::none);
    if (m_simulation.m_partitions.contains({m_vm, target}) ||
        m_simulation.m_partitions.contains({target, m_vm}) || fault == network_fault::drop)
        return nullptr;
    return m_simulation.m_entries.at(target).get();
}

common::result<peer::forward_result>
fleet_simulation::simulated_network::forward(const common::endpoint& to,
                                             const peer::forward_request& request) {
    network_fault fault = network_fault::none;
    entry_instance* target = find_target(to, fault);
    if (target == nullptr)
        return make_error_code(common::error::unavailable);
    if (target->is_frozen || fault == network_fault::delay || fault == network_fault::duplicate)
        m_simulation.m_delayed.push_back({m_simulation.vm_of(to), request});
    if (target->is_frozen || fault == network_fault::delay)
        return make_error_code(common::error::timed_out);

    std::optional<peer::forward_result> reply;
    target->handler.handle(request, [&reply](peer::forward_result it) { reply = std::move(it); });
    if (fault == network_fault::lose_reply || !reply)
        return make_error_code(common::error::timed_out);
    if (reply->outcome == peer::forward_outcome::answered && request.id.home != target->ids.self())
        m_simulation.m_oracle.answered_by_successor();
    return std::move(*reply);
}

common::result<submission::incarnation> fleet_simulation::simulated_network::hand_over(
    const common::endpoint& to, const std::vector<handover::home_snapshot>& snapshots) {
    network_fault fault = network_fault::none;
    entry_instance* target = find_target(to, fault);
    if (target == nullptr || target->is_frozen)
        return make_error_code(common::error::unavailable);
    if (!target->inherited.accept(snapshots))
        return make_error_code(common::error::conflict);
    if (fault == network_fault::lose_reply || fault == network_fault::delay)
        return make_error_code(common::error::timed_out);
    return target->ids.self();
}

common::result<void> fleet_simulation::simulated_network::announce(
    const common::endpoint& to, const std::vector<handover::successor_notice>& notices) {
    network_fault fault = network_fault::none;
    entry_instance* target = find_target(to, fault);
    if (target == nullptr || target->is_frozen)
        return make_error_code(common::error::unavailable);
    target->successors.announce(notices);
    return common::result<void>(boost::outcome_v2::success());
}

} // namespace savorytrail::fleet
