// Passes cancellations of jobs on to other entries over HTTP.
#pragma once

#include "core/gateway/job_canceller.h"
#include "core/reactor/http_client.h"

namespace savorytrail::gateway {

class http_cancel_client final : public cancel_client {
public:
    explicit http_cancel_client(reactor::http_client& client) : m_client(client) {}

    void cancel(const common::endpoint& to, const cancelled_job& it, callback done) override;

private:
    reactor::http_client& m_client;
};

} // namespace savorytrail::gateway
