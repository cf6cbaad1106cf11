// Forwards a caller's request to the home of its submission id and waits for the answer.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "core/handover/successor_registry.h"
#include "core/membership/directory.h"
#include "core/peer/client.h"
#include "core/routing/home_handler.h"

namespace savorytrail::routing {

// For metrics.
struct routing_hooks {
    std::function<void()> forwarded = [] {}; // a request is forwarded to another entry
    // A request is answered here because neither its home nor a successor answered.
    std::function<void(const job::answer&)> answered_without_home = [](const job::answer&) {};
};

class router {
public:
    router(std::string vm_name, home_handler& local, peer::forwarder& peers,
           const membership::directory& directory, handover::successor_registry& successors,
           routing_hooks hooks = {})
        : m_vm_name(std::move(vm_name)), m_local(local), m_peers(peers), m_directory(directory),
          m_successors(successors), m_hooks(std::move(hooks)) {}

    // Blocks until the answer is final or the request's wait has elapsed.
    peer::forward_result route(peer::forward_request request);

private:
    enum class home_state { unreachable, dead };

    peer::forward_result ask_local(peer::forward_request request);
    peer::forward_result ask_peer(const peer::forward_request& request);
    // Returns the home's answer, or the state to assume for a home that gave none.
    std::variant<peer::forward_result, home_state> ask_home(const peer::forward_request& request);
    // Whether a VM that the live list reports as gone still replies within the deadline of a call
    // that does not wait.
    bool is_responding(const common::endpoint& address, peer::forward_request request);
    // nullopt when there is no known successor, or none that is alive.
    std::optional<peer::forward_result> ask_successor(const peer::forward_request& request);

    const std::string m_vm_name;
    home_handler& m_local;
    peer::forwarder& m_peers;
    const membership::directory& m_directory;
    handover::successor_registry& m_successors;
    const routing_hooks m_hooks;
};

} // namespace savorytrail::routing
