// Routing to the home or its successor. An unreachable home is not enough to declare it dead: the
// answer becomes final only when another incarnation replies at its address, or when the live list
// reports its VM as gone and it does not reply, and only when no successor is known. If a live home
// is declared dead by mistake, it still starts each task at most once; the answer reports each task
// as `unknown`, which is correct whatever the home did.
#include "core/routing/router.h"

#include <future>

namespace savorytrail::routing {
namespace {

constexpr common::milliseconds unreachable_retry{500};
constexpr int max_successor_hops = 4; // a successor may have been succeeded in turn

peer::forward_result with_answer(job::answer answer) {
    peer::forward_result it;
    it.answer = std::move(answer);
    return it;
}

peer::forward_result home_is_dead(const peer::forward_request& request) {
    job::answer it;
    it.state = job::answer_state::failed;
    it.why = job::reason::home_dead;
    it.detail = "the entry that issued this id is gone; what ran is unknown, nothing more starts";
    it.tasks.assign(request.job ? request.job->tasks.size() : 0, job::task_state::unknown);
    return with_answer(std::move(it));
}

peer::forward_result home_is_unreachable() {
    job::answer it;
    it.state = job::answer_state::unavailable;
    it.why = job::reason::home_unreachable;
    it.detail = "the entry that issued this id cannot be reached from here";
    it.retry_after = unreachable_retry;
    return with_answer(std::move(it));
}

peer::forward_result still_running() {
    job::answer it;
    it.state = job::answer_state::running;
    it.why = job::reason::wait_over;
    return with_answer(std::move(it));
}

} // namespace

peer::forward_result router::route(peer::forward_request request) {
    request.came_in_at = m_vm_name;
    if (m_local.serves(request.id.home))
        return ask_local(std::move(request));
    m_hooks.forwarded();
    return ask_peer(request);
}

peer::forward_result router::ask_local(peer::forward_request request) {
    const auto wait = request.wait;
    const auto promise = std::make_shared<std::promise<peer::forward_result>>();
    auto answer = promise->get_future();
    m_local.handle(std::move(request), [promise](peer::forward_result result) {
        promise->set_value(std::move(result));
    });
    if (answer.wait_for(wait) == std::future_status::timeout)
        return still_running();
    return answer.get();
}

peer::forward_result router::ask_peer(const peer::forward_request& request) {
    if (m_successors.known(request.id.home)) {
        if (auto result = ask_successor(request))
            return std::move(*result);
    }
    auto result = ask_home(request);
    if (auto* answer = std::get_if<peer::forward_result>(&result))
        return std::move(*answer);
    const auto state = std::get<home_state>(result);
    if (auto inherited = ask_successor(request))
        return std::move(*inherited);
    auto answer = state == home_state::dead ? home_is_dead(request) : home_is_unreachable();
    m_hooks.answered_without_home(answer.answer);
    return answer;
}

std::variant<peer::forward_result, router::home_state>
router::ask_home(const peer::forward_request& request) {
    const auto vm = m_directory.find_number(request.id.vm);
    if (!vm || !vm->address)
        return home_state::unreachable;
    if (vm->state == platform::vm_state::gone && !is_responding(*vm->address, request))
        return home_state::dead;
    auto result = m_peers.forward(*vm->address, request);
    if (!result)
        return home_state::unreachable;
    if (result.value().outcome == peer::forward_outcome::not_home)
        return home_state::dead;
    return std::move(result.value());
}

bool router::is_responding(const common::endpoint& address, peer::forward_request request) {
    request.wait = common::milliseconds(0);
    return m_peers.forward(address, request).has_value();
}

std::optional<peer::forward_result> router::ask_successor(const peer::forward_request& request) {
    auto successor = m_successors.look_up(request.id.home);
    for (int hop = 0; successor && hop < max_successor_hops; hop++) {
        auto result = m_peers.forward(successor->address, request);
        if (!result) {
            const auto vm = m_directory.find(successor->vm);
            if (vm && vm->state == platform::vm_state::gone)
                return std::nullopt;
            return home_is_unreachable();
        }
        if (result.value().outcome != peer::forward_outcome::not_home)
            return std::move(result.value());
        // The successor has stopped as well, or no longer has the records: ask its own successor,
        // which took over what it had.
        successor = m_successors.look_up(successor->incarnation);
    }
    return std::nullopt;
}

} // namespace savorytrail::routing
