// Serves requests, from callers and from other entries, for submission ids that this process issued
// or took over from a stopped entry.
#pragma once

#include <functional>
#include <string>

#include "core/handover/inherited_submissions.h"
#include "core/home/home.h"
#include "core/peer/forward_service.h"

namespace savorytrail::routing {

// Event histories ("stories") of this home's submissions, for operators.
struct story_hooks {
    // Called with the VM name of the entry that received the submission from the caller.
    std::function<void(const submission::submission_id&, const std::string& vm)> received =
        [](const auto&, const auto&) {};
    // Returns the story as JSON, or an empty string when there is none.
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
    // Whether this process is that home or has taken over its submissions.
    bool serves(const submission::incarnation& home) const {
        return home == m_ids.self() || m_inherited.holds(home);
    }

private:
    // nullopt when this process does not serve the home of the id.
    std::optional<home::request_result> ask(peer::forward_request& request,
                                            submission::answer_listener listener);
    peer::forward_result read_story(const submission::submission_id& id) const;
    home::request_result ask_home(peer::forward_request& request,
                                  submission::answer_listener listener);

    home::home& m_home;
    const submission::issuer& m_ids;
    const handover::inherited_submissions& m_inherited;
    const story_hooks m_stories;
};

} // namespace savorytrail::routing
