// Serves requests whose submission id this process is the home of, whether they came from a caller
// or from another entry.
#pragma once

#include "core/home/home.h"
#include "core/peer/forward_service.h"

namespace savorytrail::routing {

class home_handler final : public peer::request_handler {
public:
    home_handler(home::home& home, const submission::issuer& ids) : m_home(home), m_ids(ids) {}

    void handle(peer::forward_request request, done_function done) override;
    submission::incarnation self() const override { return m_ids.self(); }

private:
    home::request_result ask_home(peer::forward_request& request,
                                  submission::answer_listener listener);

    home::home& m_home;
    const submission::issuer& m_ids;
};

} // namespace savorytrail::routing
