// Serves requests whose submission id this process is the home of, or the heir of its home, whether
// they came from a caller or from another entry.
#pragma once

#include "core/handover/inheritance.h"
#include "core/home/home.h"
#include "core/peer/forward_service.h"

namespace savorytrail::routing {

class home_handler final : public peer::request_handler {
public:
    home_handler(home::home& home, const submission::issuer& ids,
                 const handover::inheritance& inherited)
        : m_home(home), m_ids(ids), m_inherited(inherited) {}

    void handle(peer::forward_request request, done_function done) override;
    submission::incarnation self() const override { return m_ids.self(); }
    // Whether this process is the home or its heir.
    bool serves(const submission::incarnation& home) const {
        return home == m_ids.self() || m_inherited.holds(home);
    }

private:
    // nullopt when this process is neither home nor heir.
    std::optional<home::request_result> ask(peer::forward_request& request,
                                            submission::answer_listener listener);
    home::request_result ask_home(peer::forward_request& request,
                                  submission::answer_listener listener);

    home::home& m_home;
    const submission::issuer& m_ids;
    const handover::inheritance& m_inherited;
};

} // namespace savorytrail::routing
