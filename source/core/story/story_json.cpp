// Writes stories as JSON.
#include "core/story/story_json.h"

#include <nlohmann/json.hpp>

namespace savorytrail::story {

using nlohmann::json;

std::string to_json(const story& value, std::string_view submission_id, std::string_view home) {
    json body = {{"id", submission_id}, {"home", home}, {"events", json::array()}};
    for (const auto& it : value.events)
        body["events"].push_back(
            {{"at_ms", it.at.count()}, {"event", it.name}, {"detail", it.detail}});
    body["dropped"] = value.dropped;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace savorytrail::story
