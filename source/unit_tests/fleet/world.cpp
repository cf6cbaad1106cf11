// The commands' effects.
#include "unit_tests/fleet/world.h"

#include <algorithm>

namespace savorytrail::fleet {
namespace {

constexpr std::array<const char*, 3> vm_names = {"zilina-1", "zilina-2", "martin-1"};
constexpr std::array<const char*, 3> domains = {"zilina", "zilina", "martin"};
constexpr std::array<int, 6> steps_ms = {1, 5, 20, 100, 300, 1200};

template <typename T>
typename T::value_type take(T& from, int n) {
    const auto it = from.begin() + n % static_cast<int>(from.size());
    auto value = std::move(*it);
    from.erase(it);
    return value;
}

} // namespace

std::ostream& operator<<(std::ostream& out, const command& it) {
    return out << "{action(" << static_cast<int>(it.what) << "), " << it.a << ", " << it.b << ", "
               << it.c << "}";
}

world::world() : m_oracle(m_clock, id_lifetime) {
    for (int i = 0; i < vm_count; i++) {
        m_wires.at(i) = std::make_unique<wire>(*this, i);
        start(i);
    }
}

world::~world() = default;

void world::carry_out(const command& it) {
    machine* at = awake(it.a);
    const int vm = it.a % vm_count;
    switch (it.what) {
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
    case action::stray_start:
        return stray_start(it);
    case action::deliver:
        return deliver(it);
    case action::net_fault:
        m_next_fault = static_cast<net_fault>(it.a % 5);
        return;
    case action::cut:
        m_cuts.insert({vm, it.b % vm_count});
        return;
    case action::heal:
        m_cuts.clear();
        return;
    case action::crash:
        m_machines.at(vm) = nullptr;
        return;
    case action::restart:
        return start(vm);
    case action::freeze:
        if (at != nullptr)
            at->is_frozen = true;
        return;
    case action::wake:
        if (m_machines.at(vm))
            m_machines.at(vm)->is_frozen = false;
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
    case action::store_fault:
        return store_fault(it);
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

void world::start(int vm) {
    machine_parts parts;
    parts.name = vm_names.at(vm);
    parts.serial = m_next_serial++;
    parts.clock_shift = common::milliseconds(77777 * vm);
    parts.sink = [this, serial = parts.serial](home::outgoing_task task) {
        m_sent.push_back({serial, std::move(task), false});
    };
    parts.peers = m_wires.at(vm).get();
    parts.table = &m_table;
    m_machines.at(vm) = nullptr; // one at a time at an address
    m_machines.at(vm) = std::make_unique<machine>(parts, m_clock);
    platform::vm_changes list{1, true, {}};
    for (int i = 0; i < vm_count; i++)
        list.vms.push_back(vm_at(i));
    m_machines.at(vm)->directory.update(list);
}

machine* world::awake(int n) {
    machine* it = m_machines.at(n % vm_count).get();
    return it != nullptr && !it->is_frozen ? it : nullptr;
}

machine* world::by_serial(int serial) {
    for (const auto& it : m_machines) {
        if (it && it->serial == serial)
            return it.get();
    }
    return nullptr;
}

job::job world::make_job(int n) {
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

void world::submit(machine& at, const submission::submission_id& id, const job::job& job) {
    m_oracle.submitted(id, job);
    m_oracle.said(id, &job, at.router.route({peer::request_kind::submit, id, job, {}, ""}));
}

void world::submit_new(const command& it) {
    issue(it);
    machine* at = awake(it.b);
    if (at != nullptr && !m_ids.empty())
        submit(*at, m_ids.back(), m_jobs.back());
}

void world::resubmit(const command& it) {
    machine* at = awake(it.a);
    if (at == nullptr || m_ids.empty())
        return;
    const std::size_t n = it.b % m_ids.size();
    submit(*at, m_ids[n], it.c % 5 == 0 ? make_job(it.c) : m_jobs[n]);
}

// The key's job is the same at every submission.
void world::submit_key(const command& it) {
    machine* at = awake(it.a);
    if (at == nullptr || at->is_stopping)
        return;
    const std::string key = claim::row_key("t", std::to_string(it.b % 3));
    const auto id = at->ids.issue(1).front();
    m_oracle.issued(id);
    const auto settled = claim::resolve_claims(m_table, {{key, {id, "d"}}});
    if (!settled.front())
        return;
    const auto& row = settled.front().value().row;
    m_oracle.claimed(key, row.id);
    job::job job = make_job(1);
    for (auto& task : job.tasks)
        task.body = key;
    submit(*at, row.id, job);
}

void world::issue(const command& it) {
    machine* at = awake(it.a);
    if (at == nullptr || at->is_stopping)
        return;
    m_ids.push_back(at->ids.issue(1).front());
    m_jobs.push_back(make_job(it.c));
    m_oracle.issued(m_ids.back());
}

void world::ask(const command& it, peer::request_kind kind) {
    machine* at = awake(it.a);
    if (at == nullptr || m_ids.empty())
        return;
    const auto& id = m_ids[it.b % m_ids.size()];
    m_oracle.said(id, nullptr, at->router.route({kind, id, std::nullopt, {}, ""}));
}

void world::run_task(const command& it) {
    if (m_sent.empty())
        return;
    const machine* from = by_serial(m_sent[it.a % m_sent.size()].serial);
    if (from != nullptr && from->is_frozen)
        return;
    // The request of a machine that has crashed may still be on its way.
    sent_task sent = take(m_sent, it.a);
    m_oracle.started(sent.task.start.id, *sent.task.body, sent.task.start.task);
    m_running.push_back(std::move(sent));
}

void world::finish_task(const command& it) {
    if (m_running.empty())
        return;
    machine* from = by_serial(m_running[it.a % m_running.size()].serial);
    if (from == nullptr || from->is_frozen)
        return;
    const sent_task done = take(m_running, it.a);
    home::task_outcome outcome;
    outcome.end = it.b % 12 == 0   ? submission::task_end::failed
                  : it.b % 12 == 1 ? submission::task_end::unknown
                                   : submission::task_end::answered;
    outcome.result.status = 200;
    outcome.result.body = echo(done.task.body->tasks[done.task.start.task]);
    report(*from, done, outcome);
}

// The dispatcher knows nothing of stray starts.
void world::report(machine& to, const sent_task& ended, const home::task_outcome& outcome) {
    if (!ended.is_stray)
        return to.home.task_done(ended.task, outcome);
    to.ledger.end_task(ended.task.start.id, ended.task.start.task, outcome.end, outcome.result);
}

// The gate alone must keep a task from starting twice, whatever the dispatcher hands out.
void world::stray_start(const command& it) {
    machine* at = awake(it.a);
    if (at == nullptr || m_ids.empty())
        return;
    home::outgoing_task task;
    task.start.id = m_ids[it.b % m_ids.size()];
    task.start.task = it.c % 3;
    task.body = at->ledger.begin_task(task.start.id, task.start.task);
    if (task.body)
        m_sent.push_back({at->serial, task, true});
}

void world::refuse_task(const command& it) {
    if (m_sent.empty())
        return;
    machine* from = by_serial(m_sent[it.a % m_sent.size()].serial);
    if (from == nullptr || from->is_frozen)
        return;
    const sent_task refused = take(m_sent, it.a);
    report(*from, refused, {submission::task_end::not_started, {}, {}});
}

void world::deliver(const command& it) {
    if (m_held.empty())
        return;
    const held_message message = take(m_held, it.a);
    machine* to = awake(message.to);
    if (to != nullptr)
        deliver_to(*to, message.request);
}

// Nobody waits for the reply of a late copy, but what it says must be true, also when it is said
// by a listener long afterwards.
void world::deliver_to(machine& to, const peer::forward_request& request) {
    peer::forward_request copy = request;
    copy.wait = common::milliseconds(1);
    to.handler.handle(copy, [this, request](const peer::forward_result& result) {
        m_oracle.said(request.id, request.job ? &*request.job : nullptr, result);
    });
}

void world::hand_over(machine& from) {
    from.is_stopping = true;
    const auto estates = from.close();
    const auto place = std::find(vm_names.begin(), vm_names.end(), from.name);
    const auto vm = static_cast<std::size_t>(place - vm_names.begin());
    const auto candidates =
        handover::heir_candidates(from.directory.live_entries(), from.name, domains.at(vm));
    handover::hand_over(*m_wires.at(vm), from.heirs, candidates, estates, {});
}

void world::store_fault(const command& it) {
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

void world::refresh_list(const command& it) {
    machine* at = awake(it.a);
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

void world::advance(const command& it) {
    m_clock.advance(common::milliseconds(steps_ms.at(it.a % steps_ms.size())));
    for (const auto& each : m_machines) {
        if (each && !each->is_frozen)
            each->tick();
    }
}

platform::vm world::vm_at(int n) const {
    platform::vm it;
    it.name = vm_names.at(n);
    it.failure_domain = domains.at(n);
    it.address = address_of(n);
    return it;
}

common::endpoint world::address_of(int vm) {
    return {"10.0.1." + std::to_string(vm + 1), 7000};
}

int world::vm_of(const common::endpoint& address) const {
    for (int i = 0; i < vm_count; i++) {
        if (address_of(i) == address)
            return i;
    }
    return 0;
}

machine* world::wire::reach(const common::endpoint& to, net_fault& fault) {
    const int target = m_world.vm_of(to);
    fault = std::exchange(m_world.m_next_fault, net_fault::none);
    if (m_world.m_cuts.contains({m_vm, target}) || m_world.m_cuts.contains({target, m_vm}) ||
        fault == net_fault::drop)
        return nullptr;
    return m_world.m_machines.at(target).get();
}

common::result<peer::forward_result> world::wire::forward(const common::endpoint& to,
                                                          const peer::forward_request& request) {
    net_fault fault = net_fault::none;
    machine* target = reach(to, fault);
    if (target == nullptr)
        return make_error_code(common::error::unavailable);
    if (target->is_frozen || fault == net_fault::delay || fault == net_fault::duplicate)
        m_world.m_held.push_back({m_world.vm_of(to), request});
    if (target->is_frozen || fault == net_fault::delay)
        return make_error_code(common::error::timed_out);

    std::optional<peer::forward_result> reply;
    target->handler.handle(request, [&reply](peer::forward_result it) { reply = std::move(it); });
    if (fault == net_fault::lose_reply || !reply)
        return make_error_code(common::error::timed_out);
    if (reply->outcome == peer::forward_outcome::answered && request.id.home != target->ids.self())
        m_world.m_oracle.answered_by_heir();
    return std::move(*reply);
}

common::result<submission::incarnation>
world::wire::hand_over(const common::endpoint& to, const std::vector<handover::estate>& estates) {
    net_fault fault = net_fault::none;
    machine* target = reach(to, fault);
    if (target == nullptr || target->is_frozen)
        return make_error_code(common::error::unavailable);
    if (!target->inherited.accept(estates))
        return make_error_code(common::error::conflict);
    if (fault == net_fault::lose_reply || fault == net_fault::delay)
        return make_error_code(common::error::timed_out);
    return target->ids.self();
}

common::result<void> world::wire::announce(const common::endpoint& to,
                                           const std::vector<handover::heir_notice>& notices) {
    net_fault fault = net_fault::none;
    machine* target = reach(to, fault);
    if (target == nullptr || target->is_frozen)
        return make_error_code(common::error::unavailable);
    target->heirs.announce(notices);
    return common::result<void>(boost::outcome_v2::success());
}

} // namespace savorytrail::fleet
