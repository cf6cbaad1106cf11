#include "core/gateway/gateway.h"

#include <algorithm>

#include "core/fleet/describe_link.h"

namespace savorytrail::gateway {
namespace {

using common::milliseconds;

// Subtracted from the caller's patience for the return of the outcome from another entry.
constexpr milliseconds return_time{15};
// A failure domain without a dispatcher gets a new one within about this time.
constexpr milliseconds max_wait_for_dispatcher{1500};
// After so many cells without executors that take work, a job waits for the next tick.
constexpr std::size_t max_cells_without_executors = 3;
// A cell that refused a job is not asked again sooner: a typical task has ended there by then.
constexpr milliseconds min_time_to_ask_again{100};
// Cells that are asked whether they can be on time with a job, before one may be late with it. Each
// offer costs processor time of both entries.
constexpr std::size_t max_cells_asked_for_on_time = 2;
// An answer that takes longer than this many times the objective has no value.
constexpr int max_lateness_factor = 3;

} // namespace

gateway::gateway(const common::clock& clock, const common::stall_detector& stalls,
                 fleet::view& view, cell::dispatcher& own, forwarding_client& client,
                 cell::job_observer& observer, common::random_source& random)
    : m_clock(clock), m_stalls(stalls), m_view(view), m_own(own), m_client(client),
      m_observer(observer), m_random(random), m_suspended(clock.suspended()) {}

std::uint64_t gateway::submit(work::job job, cell::done_callback done) {
    count_suspension(); // longest_wait() below counts it for the new job
    end_earlier_attempts(job.id);
    const auto ticket = m_next_ticket++;
    open_job open;
    open.arrived = m_clock.now();
    // The request may have waited here while this process did not run. Its caller's patience counts
    // from when it was sent.
    const auto waited = m_stalls.longest_wait();
    open.first_sent = open.arrived - job.waited - waited;
    open.give_up_at = open.arrived + job.patience - waited;
    open.job = std::move(job);
    open.done = std::move(done);
    m_open.emplace(ticket, std::move(open));
    place(ticket);
    return ticket;
}

std::vector<target> gateway::targets(const std::map<std::string, common::time_point>& tried) const {
    const auto now = m_clock.now();
    const auto& self = m_view.self();
    std::vector<target> list;
    const auto own = m_own.load();
    if (own.capacity_cpu_millis > 0 && !tried.contains(self.name)) {
        list.push_back(
            {self.name, true, {own.capacity_cpu_millis, own.usable_cpu_millis, own.backlog_ms}, 0});
    }
    for (const auto* it : m_view.live_peers(now)) {
        // A stopping dispatcher reports the capacity that it still accepts jobs for.
        const auto& name = it->identity.name;
        if (it->status.load.capacity_cpu_millis <= 0 || tried.contains(name) || is_drained(*it)) {
            continue;
        }
        const auto sent = m_sent_since_heartbeat.find(name);
        list.push_back({name, it->identity.failure_domain == self.failure_domain, it->status.load,
                        sent == m_sent_since_heartbeat.end() ? 0 : sent->second.total});
    }
    return list;
}

gateway_explanation gateway::explain(work::job job) const {
    const auto waited = m_stalls.longest_wait();
    job.waited += waited;
    job.patience -= waited;
    gateway_explanation result;
    const auto list = targets({});
    const auto rated = rate_targets(job, list);
    for (std::size_t i = 0; i < list.size(); i++) {
        std::optional<milliseconds> age;
        const auto* peer = m_view.find(list[i].name);
        if (list[i].name != m_view.self().name && peer != nullptr && peer->last_sign) {
            age = std::chrono::duration_cast<milliseconds>(m_clock.now() - *peer->last_sign);
        }
        result.candidates.push_back({list[i], age, rated[i]});
    }
    result.are_all_drained = are_all_drained();
    result.is_out_of_time = job.patience <= return_time;
    result.own = m_own.explain(job);
    return result;
}

bool gateway::is_drained(const fleet::peer& it) const {
    // It may not have learnt of the drain yet, or follow none in an earlier version. What it offers
    // besides are executors that it has adopted from other domains.
    return m_drains != nullptr && m_drains->is_drained(it.identity.failure_domain) &&
           it.status.adopted.empty();
}

bool gateway::are_all_drained() const {
    if (m_drains == nullptr || m_drains->count() == 0) {
        return false;
    }
    const auto& domains =
        m_executor_domains.empty() ? m_view.live_domains(m_clock.now()) : m_executor_domains;
    return std::all_of(domains.begin(), domains.end(),
                       [this](const std::string& it) { return m_drains->is_drained(it); });
}

void gateway::place(std::uint64_t ticket) {
    auto& open = m_open.at(ticket);
    const auto list = targets_left(open);
    const auto best = choose_target(open.job, list, m_random);
    if (!best) {
        wait_or_refuse(ticket);
        return;
    }
    open.target = list[*best].name;
    open.tried[open.target] = m_clock.now();
    open.job.has_alternatives = !open.accepts_lateness && list.size() > 1;
    const auto now = m_clock.now();
    const auto left = std::chrono::duration_cast<milliseconds>(open.give_up_at - now);
    open.job.waited = std::chrono::duration_cast<milliseconds>(now - open.first_sent);
    if (left <= return_time) {
        refuse(ticket, cell::refusal_cause::patience, "its caller's patience ends");
        return;
    }
    open.job.patience = left;
    if (open.target == m_view.self().name) {
        open.own_ticket = 0;
        const auto own_ticket = m_own.submit(
            open.job, [this, ticket](const work::outcome& it) { on_outcome(ticket, it); });
        const auto it = m_open.find(ticket);
        // Refused at once, the job may have been offered to the own cell again.
        if (it != m_open.end() && it->second.target == m_view.self().name &&
            it->second.own_ticket == 0) {
            it->second.own_ticket = own_ticket;
        }
        return;
    }
    open.job.patience = left - return_time;
    forward(ticket, *m_view.find(open.target));
}

void gateway::refuse(std::uint64_t ticket, cell::refusal_cause cause, const std::string& reason) {
    m_observer.job_event(m_open.at(ticket).job.id, "job_refused",
                         reason + "; " + describe_targets(targets({})));
    m_observer.count_refusal(cause);
    finish(ticket, {work::job_end::not_run, reason, retry_after(), false});
}

void gateway::wait_or_refuse(std::uint64_t ticket) {
    if (are_all_drained()) {
        refuse(ticket, cell::refusal_cause::no_executors,
               "every failure domain with executors is drained");
        return;
    }
    const auto& open = m_open.at(ticket);
    const auto end = m_clock.now() + open.job.critical_path_length();
    const bool is_worth_waiting =
        end < open.give_up_at &&
        end < open.first_sent + max_lateness_factor * open.job.objective() &&
        m_clock.now() - open.arrived < max_wait_for_dispatcher;
    if (!open.tried.empty() || !is_worth_waiting) {
        refuse(ticket, cell::refusal_cause::no_dispatcher, "no dispatcher can be reached");
        return;
    }
    m_waiting.insert(ticket);
}

void gateway::end_earlier_attempts(const std::string& job) {
    for (const auto ticket : tickets_of([&](const open_job& it) { return it.job.id == job; })) {
        const auto done = m_open.at(ticket).done;
        abandon(ticket);
        done({work::job_end::given_up, "its caller has sent it again", retry_after()});
    }
}

void gateway::count_suspension() {
    const auto suspended = m_clock.suspended() - std::exchange(m_suspended, m_clock.suspended());
    if (suspended.count() <= 0) {
        return;
    }
    std::vector<std::uint64_t> over;
    for (auto& [ticket, it] : m_open) {
        it.first_sent -= suspended;
        it.give_up_at -= suspended;
        if (it.forward_number != 0 && it.give_up_at <= m_clock.now()) {
            over.push_back(ticket);
        }
    }
    for (const auto ticket : over) {
        cancel_forward(ticket, make_error_code(common::error::timed_out));
    }
}

void gateway::tick() {
    count_suspension();
    for (const auto& [ticket, it] : m_open) {
        if (it.cancel) {
            m_view.note_in_use(it.target, m_clock.now());
        }
    }
    for (const auto ticket : std::exchange(m_waiting, {})) {
        if (m_open.contains(ticket)) {
            place(ticket);
        }
    }
}

void gateway::forward(std::uint64_t ticket, const fleet::peer& to) {
    auto& open = m_open.at(ticket);
    const auto& name = to.identity.name;
    m_view.note_in_use(name, m_clock.now());
    m_observer.job_event(open.job.id, "job_passed", name);
    open.forward_number = m_next_forward++;
    m_forwards[open.forward_number] = ticket;
    auto& sent = m_sent_since_heartbeat[name];
    sent.by_forward[open.forward_number] = first_tasks_cpu_millis(open.job);
    sent.total += first_tasks_cpu_millis(open.job);
    passed_job message{open.job, m_view.self().name, open.forward_number, m_view.self().incarnation,
                       std::nullopt};
    if (const auto stamp = m_last_stamps.find(name); stamp != m_last_stamps.end()) {
        message.stamp = stamp->second;
    }
    open.cancel = m_client.forward(to.address, message, [this, ticket](auto result) {
        if (result) {
            on_outcome(ticket, result.value());
        } else {
            on_forwarding_failed(ticket, result.error());
        }
    });
}

void gateway::end_forward(open_job& it) {
    m_forwards.erase(it.forward_number);
    it.forward_number = 0;
}

bool gateway::is_held_for(const std::string& dispatcher, std::uint64_t forward_number) const {
    const auto ticket = m_forwards.find(forward_number);
    return ticket != m_forwards.end() && m_open.at(ticket->second).target == dispatcher;
}

lease_answer gateway::grant_leases(const lease_request& request) {
    const auto& self = m_view.self();
    m_last_stamps[request.dispatcher] = request.stamp;
    lease_answer answer{self.name, request.incarnation, request.stamp, {}, {}};
    for (const auto number : request.numbers) {
        const bool is_held =
            request.incarnation == self.incarnation && is_held_for(request.dispatcher, number);
        (is_held ? answer.held : answer.released).push_back(number);
    }
    return answer;
}

void gateway::on_outcome(std::uint64_t ticket, const work::outcome& outcome) {
    const auto it = m_open.find(ticket);
    if (it == m_open.end()) {
        return;
    }
    const auto forward_number = it->second.forward_number;
    end_forward(it->second);
    if (outcome.end != work::job_end::not_run) {
        finish(ticket, outcome);
        return;
    }
    return_room(it->second.target, forward_number);
    on_refused(ticket, outcome);
}

void gateway::on_late(open_job& open, const work::outcome& outcome) const {
    open.late_at.insert(open.target);
    open.retry_after =
        std::min(open.retry_after.value_or(cell::max_retry_after), outcome.retry_after);
    open.accepts_lateness =
        open.late_at.size() >= max_cells_asked_for_on_time || targets(open.tried).empty();
    if (open.accepts_lateness) {
        for (const auto& it : open.late_at) {
            open.tried.erase(it);
        }
    }
}

void gateway::on_refused(std::uint64_t ticket, const work::outcome& outcome) {
    auto& open = m_open.at(ticket);
    if (outcome.would_be_late) {
        on_late(open, outcome);
    } else if (!outcome.lacked_executors) {
        open.job.earlier_offers++;
        open.retry_after = std::min(open.retry_after.value_or(cell::max_retry_after),
                                    std::max(outcome.retry_after, cell::min_retry_after));
        forget_old_refusals(open);
        open.tried[open.target] = m_clock.now();
    }
    const bool may_be_offered =
        !outcome.lacked_executors || open.tried.size() < max_cells_without_executors;
    if (may_be_offered && m_clock.now() < open.give_up_at && !targets_left(open).empty()) {
        place(ticket);
        return;
    }
    if (open.job.earlier_offers == 0 &&
        !outcome.would_be_late) { // all that were asked lacked executors
        open.tried.clear();
        wait_or_refuse(ticket);
        return;
    }
    note_not_offered_further(open);
    auto last = outcome;
    last.retry_after = open.retry_after.value_or(cell::min_retry_after);
    finish(ticket, last);
}

void gateway::forget_old_refusals(open_job& it) const {
    const auto now = m_clock.now();
    std::erase_if(it.tried, [&](const auto& tried) {
        const auto& [name, at] = tried;
        if (now - at < min_time_to_ask_again) {
            return false;
        }
        const auto* peer = m_view.find(name); // nullptr for this entry, whose load is always known
        return peer == nullptr || (peer->last_sign && *peer->last_sign > at);
    });
}

void gateway::note_not_offered_further(const open_job& it) const {
    const auto left = targets(it.tried);
    if (left.empty()) {
        return;
    }
    m_observer.job_event(it.job.id, "job_refused",
                         "no other cell is of use to it; " + describe_targets(left));
    m_observer.count_refusal(cell::refusal_cause::no_cell);
}

std::string gateway::describe_targets(const std::vector<target>& list) const {
    if (list.empty()) {
        return "no cell has executors";
    }
    const auto free_of = [](const target& it) {
        return it.load.free_cpu_millis - it.sent_since_heartbeat;
    };
    auto least_backlog = list.front().load.backlog_ms;
    auto most_free = free_of(list.front());
    milliseconds oldest{0};
    for (const auto& it : list) {
        least_backlog = std::min(least_backlog, it.load.backlog_ms);
        most_free = std::max(most_free, free_of(it));
        if (const auto* peer = m_view.find(it.name); peer != nullptr && peer->last_sign) {
            oldest = std::max(
                oldest, std::chrono::duration_cast<milliseconds>(m_clock.now() - *peer->last_sign));
        }
    }
    return std::to_string(list.size()) + " cells, least backlog " + std::to_string(least_backlog) +
           " ms, at most " + std::to_string(most_free / 1000) +
           " cores usable in one, by heartbeats up to " + std::to_string(oldest.count()) +
           " ms old";
}

void gateway::return_room(const std::string& entry, std::uint64_t forward_number) {
    const auto sent = m_sent_since_heartbeat.find(entry);
    if (sent == m_sent_since_heartbeat.end()) {
        return; // a heartbeat has come since
    }
    if (const auto it = sent->second.by_forward.find(forward_number);
        it != sent->second.by_forward.end()) {
        sent->second.total -= it->second;
        sent->second.by_forward.erase(it);
    }
}

std::vector<target> gateway::targets_left(const open_job& it) const {
    const auto list = targets(it.tried);
    return it.job.earlier_offers == 0
               ? list
               : targets_after_refusal(it.job, list, slack_of(it), it.job.earlier_offers);
}

job_slack gateway::slack_of(const open_job& it) const {
    const auto start = m_clock.now() + it.job.critical_path_length();
    const auto objective = it.job.objective();
    const auto until = [start](common::time_point end) {
        return std::chrono::duration_cast<milliseconds>(end - start);
    };
    return {until(std::min(it.first_sent + objective, it.give_up_at)),
            until(std::min(it.first_sent + max_lateness_factor * objective, it.give_up_at))};
}

milliseconds gateway::retry_after() const {
    std::optional<std::int64_t> least;
    for (const auto& it : targets({})) {
        least = std::min(least.value_or(it.load.backlog_ms), it.load.backlog_ms);
    }
    return cell::retry_after_for(static_cast<double>(least.value_or(0)));
}

void gateway::on_forwarding_failed(std::uint64_t ticket, std::error_code ec) {
    const auto it = m_open.find(ticket);
    if (it == m_open.end()) {
        return;
    }
    const auto forward_number = std::exchange(it->second.forward_number, 0);
    m_forwards.erase(forward_number);
    const auto& target = it->second.target;
    m_observer.job_event(it->second.job.id, "pass_lost",
                         target + ": " + ec.message() + ", " +
                             fleet::describe_link(m_view, target, m_clock.now()));
    m_view.note_connection_lost(target);
    if (common::is_unsent(ec)) {
        place(ticket);
        return;
    }
    if (const auto* to = m_view.find(it->second.target)) {
        m_client.abandon(to->address, {it->second.job.id, m_view.self().name, forward_number});
    }
    finish(ticket, {work::job_end::given_up, "the way to its dispatcher broke", retry_after()});
}

void gateway::on_entry_lost(const std::string& name) {
    const auto affected =
        tickets_of([&](const open_job& it) { return it.target == name && it.forward_number != 0; });
    for (const auto ticket : affected) {
        cancel_forward(ticket, make_error_code(common::error::connection_lost));
    }
}

void gateway::cancel_forward(std::uint64_t ticket, std::error_code ec) {
    if (auto cancel = std::exchange(m_open.at(ticket).cancel, nullptr)) {
        cancel();
    }
    on_forwarding_failed(ticket, ec);
}

std::vector<std::uint64_t>
gateway::tickets_of(const std::function<bool(const open_job&)>& matches) const {
    std::vector<std::uint64_t> tickets;
    for (const auto& [ticket, it] : m_open) {
        if (matches(it)) {
            tickets.push_back(ticket);
        }
    }
    return tickets;
}

void gateway::note_caller_left(const open_job& job) {
    const auto age = std::chrono::duration_cast<milliseconds>(m_clock.now() - job.arrived);
    m_observer.job_event(job.job.id, "caller_left",
                         "after " + std::to_string(age.count()) + " ms" +
                             (job.cancel ? ", forwarded to " + job.target : ""));
}

void gateway::abandon(std::uint64_t ticket) {
    const auto it = m_open.find(ticket);
    if (it == m_open.end()) {
        return;
    }
    note_caller_left(it->second);
    withdraw(ticket);
}

bool gateway::cancel(const cancelled_job& it) {
    const auto tickets = tickets_of([&](const open_job& open) {
        return open.job.id == it.id && open.job.queue.name == it.queue;
    });
    for (const auto ticket : tickets) {
        const auto done = m_open.at(ticket).done;
        withdraw(ticket);
        done({work::job_end::cancelled, "", {}});
    }
    return !tickets.empty();
}

void gateway::withdraw(std::uint64_t ticket) {
    const auto it = m_open.find(ticket);
    const auto open = std::move(it->second);
    m_open.erase(it);
    m_forwards.erase(open.forward_number);
    if (open.target == m_view.self().name) {
        m_own.abandon(open.own_ticket);
        return;
    }
    if (open.cancel) {
        open.cancel();
        if (const auto* to = m_view.find(open.target)) {
            m_client.abandon(to->address, {open.job.id, m_view.self().name, open.forward_number});
        }
    }
}

void gateway::finish(std::uint64_t ticket, const work::outcome& outcome) {
    const auto it = m_open.find(ticket);
    if (it == m_open.end()) {
        return;
    }
    end_forward(it->second);
    const auto done = std::move(it->second.done);
    m_open.erase(it);
    done(outcome);
}

} // namespace savorytrail::gateway
