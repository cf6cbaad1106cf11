#include "core/gateway/forwarding_service.h"

#include "core/fleet/describe_link.h"
#include "core/gateway/forwarding_http.h"

namespace savorytrail::gateway {
namespace {

reactor::http_response outcome_response(const work::outcome& it) {
    return {200, {}, encode(it), protobuf_type};
}

} // namespace

bool forwarding_service::handle(const reactor::http_request& request,
                                const std::shared_ptr<reactor::responder>& answer) {
    if (request.method != "POST") {
        return false;
    }
    if (request.target == job_path) {
        accept(request, answer);
        return true;
    }
    if (request.target != abandon_path) {
        return false;
    }
    if (const auto it = decode_abandoned(request.body)) {
        drop_if(
            [&](const received_job& open) {
                return open.job == it->id && open.forward.entry == it->from &&
                       open.forward.number == it->number;
            },
            "abandoned by that entry");
    }
    answer->send({200, {}, "", protobuf_type});
    return true;
}

bool forwarding_service::cancel(const cancelled_job& it) {
    const auto dropped = drop_if(
        [&](const received_job& open) { return open.job == it.id && open.queue == it.queue; },
        "cancelled", work::job_end::cancelled);
    return dropped > 0;
}

void forwarding_service::accept(const reactor::http_request& request,
                                const std::shared_ptr<reactor::responder>& answer) {
    auto passed = decode_job(request.body);
    if (!passed) {
        answer->send({400, {}, "", protobuf_type});
        return;
    }
    const auto number = m_next_number++;
    const forward_id forward{passed->from, passed->from_incarnation, passed->number};
    m_observer.job_event(passed->job.id, "job_received",
                         forward.entry + ": " + describe_holder(*passed));
    m_view.note_in_use(forward.entry, m_clock.now());
    m_open[number] = {forward, passed->job.id, passed->job.queue.name, 0, answer};
    const auto ticket = submit(*passed, [this, number, answer](const work::outcome& it) {
        close(number);
        answer->send(outcome_response(it));
    });
    const auto it = m_open.find(number);
    if (it == m_open.end()) {
        return; // answered already
    }
    it->second.ticket = ticket;
    if (forward.number != 0) {
        m_by_forward[forward] = number;
        m_leases.add(forward, m_leases.held_until(passed->stamp));
        request_leases();
    }
    answer->on_disconnect([this, number] { drop(number, "connection ended"); });
}

std::uint64_t forwarding_service::submit(const passed_job& it, cell::done_callback done) {
    return it.number == 0
               ? m_own.submit(it.job, std::move(done))
               : m_own.submit_leased(it.job, m_leases.held_until(it.stamp), std::move(done));
}

std::optional<std::uint64_t> forwarding_service::find(const forward_id& it) const {
    const auto found = m_by_forward.find(it);
    return found == m_by_forward.end() ? std::nullopt : std::optional(found->second);
}

void forwarding_service::close(std::uint64_t number) {
    const auto it = m_open.find(number);
    if (it == m_open.end()) {
        return;
    }
    m_leases.remove(it->second.forward);
    m_by_forward.erase(it->second.forward);
    m_open.erase(it);
}

std::string forwarding_service::describe_heartbeat(const std::string& entry) const {
    return fleet::describe_last_heartbeat(m_view, entry, m_clock.now());
}

std::string forwarding_service::describe_holder(const passed_job& it) const {
    if (it.number == 0) {
        return describe_heartbeat(it.from);
    }
    const auto left = m_leases.held_until(it.stamp) - m_clock.now();
    const auto ms = std::chrono::duration_cast<common::milliseconds>(left).count();
    return describe_heartbeat(it.from) + ", lease " + std::to_string(ms) + " ms";
}

void forwarding_service::drop(std::uint64_t number, std::string_view reason, work::job_end end) {
    const auto it = m_open.find(number);
    if (it == m_open.end()) {
        return;
    }
    const received_job dropped = it->second;
    close(number);
    m_observer.job_event(dropped.job, "job_dropped",
                         dropped.forward.entry + ": " + std::string(reason) + ", " +
                             describe_heartbeat(dropped.forward.entry));
    m_own.abandon(dropped.ticket);
    // The connection may be open still, unless its end is the reason.
    dropped.answer->send(outcome_response({end, std::string(reason), {}}));
}

void forwarding_service::request_leases() {
    for (const auto& it : m_leases.due()) {
        m_send(it.entry, encode(it.request));
    }
}

void forwarding_service::receive(const lease_answer& it) {
    const auto renewals = m_leases.receive(it);
    for (const auto& forward : renewals.held) {
        if (const auto number = find(forward)) {
            m_leases.renew(forward, renewals.held_until);
            const auto& open = m_open.at(*number);
            m_own.renew(open.job, open.ticket, renewals.held_until);
        }
    }
    for (const auto& forward : renewals.released) {
        if (const auto number = find(forward)) {
            drop(*number, "released by that entry");
        }
    }
}

void forwarding_service::tick() {
    for (const auto& [number, it] : m_open) {
        m_view.note_in_use(it.forward.entry, m_clock.now());
    }
    request_leases();
}

void forwarding_service::on_entry_lost(const std::string& name) {
    drop_if(
        [&](const received_job& open) {
            return open.forward.entry == name && open.forward.number == 0;
        },
        "entry lost");
}

std::size_t forwarding_service::drop_if(const std::function<bool(const received_job&)>& matches,
                                        std::string_view reason, work::job_end end) {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, it] : m_open) {
        if (matches(it)) {
            numbers.push_back(number);
        }
    }
    for (const auto number : numbers) {
        drop(number, reason, end);
    }
    return numbers.size();
}

} // namespace savorytrail::gateway
