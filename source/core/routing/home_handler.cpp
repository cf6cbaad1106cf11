// Translates forwarded requests into calls of the home.
#include "core/routing/home_handler.h"

namespace savorytrail::routing {

void home_handler::handle(peer::forward_request request, done_function done) {
    if (request.kind == peer::request_kind::story) {
        done(read_story(request.id));
        return;
    }
    peer::forward_result reply;
    reply.current = m_ids.self();
    // A request that does not wait registers no listener, so that polling costs no memory.
    const bool waits = request.wait > common::milliseconds(0);
    submission::answer_listener listener;
    if (waits) {
        listener = [done, reply](const submission::shared_answer& answer) mutable {
            reply.answer = *answer;
            done(std::move(reply));
        };
    }
    const auto result = ask(request, std::move(listener));
    if (!result) {
        reply.outcome = peer::forward_outcome::not_home;
        done(std::move(reply));
        return;
    }
    switch (result->outcome) {
    case home::request_outcome::waiting:
        if (waits)
            return;
        reply.answer.why = job::reason::wait_over;
        break;
    case home::request_outcome::answered:
        reply.answer = *result->answer;
        break;
    case home::request_outcome::different_body:
        reply.outcome = peer::forward_outcome::different_body;
        break;
    case home::request_outcome::forged:
        reply.outcome = peer::forward_outcome::forged;
        break;
    }
    done(std::move(reply));
}

std::optional<home::request_result> home_handler::ask(peer::forward_request& request,
                                                      submission::answer_listener listener) {
    if (request.id.home == m_ids.self())
        return ask_home(request, std::move(listener));
    const bool is_submission = request.kind == peer::request_kind::submit;
    return m_inherited.answer(request.id, is_submission ? &*request.job : nullptr);
}

// Stories are not handed over: a successor has only the final answers.
peer::forward_result home_handler::read_story(const submission::submission_id& id) const {
    peer::forward_result reply;
    reply.current = m_ids.self();
    if (id.home == m_ids.self())
        reply.story = m_stories.story(id);
    else if (!m_inherited.holds(id.home))
        reply.outcome = peer::forward_outcome::not_home;
    return reply;
}

home::request_result home_handler::ask_home(peer::forward_request& request,
                                            submission::answer_listener listener) {
    switch (request.kind) {
    case peer::request_kind::submit:
        if (m_ids.is_genuine(request.id))
            m_stories.received(request.id, request.came_in_at);
        return m_home.submit(request.id, std::move(*request.job), std::move(listener));
    case peer::request_kind::cancel:
        return m_home.cancel(request.id);
    case peer::request_kind::query:
    case peer::request_kind::story:
        break;
    }
    return m_home.query(request.id, std::move(listener));
}

} // namespace savorytrail::routing
