// Brings a caller's request to the home of its submission id and waits there for the answer.
#pragma once

#include <string>

#include "core/membership/directory.h"
#include "core/peer/client.h"
#include "core/routing/home_handler.h"

namespace savorytrail::routing {

class router {
public:
    router(std::string vm_name, home_handler& local, peer::client& peers,
           const membership::directory& directory)
        : m_vm_name(std::move(vm_name)), m_local(local), m_peers(peers), m_directory(directory) {}

    // Blocks until the answer is final or the request's wait is over.
    peer::forward_result route(peer::forward_request request);

private:
    peer::forward_result ask_local(peer::forward_request request);
    peer::forward_result ask_peer(const peer::forward_request& request);

    const std::string m_vm_name;
    home_handler& m_local;
    peer::client& m_peers;
    const membership::directory& m_directory;
};

} // namespace savorytrail::routing
