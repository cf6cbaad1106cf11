// Serves requests whose submission id this process is the home of, or the heir of its home, whether
// they came from a caller or from another entry.
#pragma once

#include <functional>
#include <string>

#include "core/handover/inherited_submissions.h"
#include "core/home/home.h"
#include "core/peer/forward_service.h"

namespace savorytrail::routing {

// What is kept for operators of the submissions of this home.
struct story_hooks {
    std::function<void(const submission::submission_id&, const std::string& came_in_at)> came_in =
        [](const auto&, const auto&) {};
    // JSON, or empty when nothing is known.
    std::function<std::string(const submission::submission_id&)> story = [](const auto&) {
        return std::string();
    };
};

class home_handler final : public peer::request_handler {
public:
    home_handler(home::home& home, const submission::issuer& ids,
                 const handover::inherited_submissions& inherited, story_hooks stories = {})
        : m_home(home), m_ids(ids), m_inherited(inherited), m_stories(std::move(stories)) {}

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
    peer::forward_result tell_story(const submission::submission_id& id) const;
    home::request_result ask_home(peer::forward_request& request,
                                  submission::answer_listener listener);

    home::home& m_home;
    const submission::issuer& m_ids;
    const handover::inherited_submissions& m_inherited;
    const story_hooks m_stories;
};

} // namespace savorytrail::routing
