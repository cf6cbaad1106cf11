// Passing jobs between entries over HTTP: both sides. A connection carries one job at a time; when
// it ends before the outcome, the receiving side stops the job.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "core/gateway/gateway.h"
#include "core/reactor/http_client.h"
#include "core/reactor/http_server.h"

namespace savorytrail::gateway {

class http_pass_link final : public pass_link {
public:
    http_pass_link(reactor::http_client& client, std::string self)
        : m_client(client), m_self(std::move(self)) {}

    canceller pass(const common::endpoint& to, const work::job& job, callback done) override;
    void abandon(const common::endpoint& to, const std::string& job) override;

private:
    reactor::http_client& m_client;
    const std::string m_self;
};

// The receiving side.
class pass_service {
public:
    explicit pass_service(cell::dispatcher& own) : m_own(own) {}

    // False when the request is not one of this service.
    bool handle(const reactor::http_request& request,
                const std::shared_ptr<reactor::responder>& answer);
    // Nobody there waits any more.
    void on_entry_lost(const std::string& name);

private:
    struct open_pass {
        std::string from;
        std::string job;
        std::uint64_t ticket = 0;
    };

    void take(const reactor::http_request& request,
              const std::shared_ptr<reactor::responder>& answer);
    void drop(std::uint64_t pass);
    void drop_if(const std::function<bool(const open_pass&)>& is_over);

    cell::dispatcher& m_own;
    std::map<std::uint64_t, open_pass> m_open;
    std::uint64_t m_next = 1;
};

} // namespace savorytrail::gateway
