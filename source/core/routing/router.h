// Brings a caller's request to the home of its submission id and waits there for the answer.
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
    std::function<void()> forwarded = [] {}; // a request goes on to another entry
    // An answer is given without the home's word.
    std::function<void(const job::answer&)> spoke_for_home = [](const job::answer&) {};
};

class router {
public:
    router(std::string vm_name, home_handler& local, peer::forwarder& peers,
           const membership::directory& directory, handover::successor_registry& successors,
           routing_hooks hooks = {})
        : m_vm_name(std::move(vm_name)), m_local(local), m_peers(peers), m_directory(directory),
          m_successors(successors), m_hooks(std::move(hooks)) {}

    // Blocks until the answer is final or the request's wait is over.
    peer::forward_result route(peer::forward_request request);

private:
    enum class home_state { unreachable, dead };

    peer::forward_result ask_local(peer::forward_request request);
    peer::forward_result ask_peer(const peer::forward_request& request);
    // The home's answer, or what is to be believed of the home without one.
    std::variant<peer::forward_result, home_state> ask_home(const peer::forward_request& request);
    // Whether a VM that the live list takes for gone replies, within the bound of a call that does
    // not wait.
    bool replies(const common::endpoint& address, peer::forward_request request);
    // nullopt when no heir is known, or none that lives.
    std::optional<peer::forward_result> ask_successor(const peer::forward_request& request);

    const std::string m_vm_name;
    home_handler& m_local;
    peer::forwarder& m_peers;
    const membership::directory& m_directory;
    handover::successor_registry& m_successors;
    const routing_hooks m_hooks;
};

} // namespace savorytrail::routing
