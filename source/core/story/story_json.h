// The JSON form of a story (docs/API.md).
#pragma once

#include <string>
#include <string_view>

#include "core/story/story_store.h"

namespace savorytrail::story {

// `home`: name of the VM of the home entry, which stores the story.
std::string to_json(const story& value, std::string_view submission_id, std::string_view home);

} // namespace savorytrail::story
