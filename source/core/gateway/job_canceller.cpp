#include "core/gateway/job_canceller.h"

#include <utility>

#include "core/gateway/forwarding_http.h"

namespace savorytrail::gateway {
namespace {

std::string key_of(const cancelled_job& it) {
    return it.id + "/" + it.queue;
}

} // namespace

std::string_view to_string(cancel_result it) {
    switch (it) {
    case cancel_result::cancelled:
        return "cancelled";
    case cancel_result::not_open:
        return "not_open";
    case cancel_result::unconfirmed:
        return "unconfirmed";
    }
    return "";
}

void job_canceller::cancel(const cancelled_job& it, callback done) {
    const bool was_here = cancel_here(it);
    const auto peers = m_view.live_peers(m_clock.now());
    const auto shared = std::make_shared<poll>(poll{std::move(done), peers.size()});
    if (was_here) {
        finish(*shared, cancel_result::cancelled);
    }
    if (m_pending >= m_limits.max_pending) {
        finish(*shared, cancel_result::unconfirmed);
        return;
    }
    if (peers.empty()) {
        finish(*shared, cancel_result::not_open);
        return;
    }
    m_pending++;
    for (const auto* peer : peers) {
        m_client.cancel(peer->address, it,
                        [this, shared](const auto& was_open) { on_answer(*shared, was_open); });
    }
}

void job_canceller::on_answer(poll& it, const common::result<bool>& was_open) {
    it.outstanding--;
    it.has_failed = it.has_failed || !was_open;
    if (was_open && was_open.value()) {
        finish(it, cancel_result::cancelled);
    }
    if (it.outstanding > 0) {
        return;
    }
    m_pending--;
    finish(it, it.has_failed ? cancel_result::unconfirmed : cancel_result::not_open);
}

void job_canceller::finish(poll& it, cancel_result result) {
    if (const auto done = std::exchange(it.done, nullptr)) {
        done(result);
    }
}

bool job_canceller::cancel_here(const cancelled_job& it) {
    m_cancelled.touch(key_of(it)) = m_clock.now();
    const bool was_dispatched = m_dispatched.cancel(it);
    return m_callers.cancel(it) || was_dispatched;
}

bool job_canceller::was_cancelled(const cancelled_job& it) const {
    const auto* at = m_cancelled.find(key_of(it));
    return at != nullptr && m_clock.now() - *at < m_limits.remembered_for;
}

bool job_canceller::handle(const reactor::http_request& request,
                           const std::shared_ptr<reactor::responder>& answer) {
    if (request.method != "POST" || request.target != cancel_path) {
        return false;
    }
    if (const auto it = decode_cancelled(request.body)) {
        answer->send({200, {}, encode_cancel_answer(cancel_here(*it)), protobuf_type});
    } else {
        answer->send({400, {}, "", protobuf_type});
    }
    return true;
}

} // namespace savorytrail::gateway
