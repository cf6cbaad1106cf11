// The reference page of all settings, generated from the schema.
#pragma once

#include <string>

namespace savorytrail::settings {

// Returns Markdown: every settings and manifest key with unit, default, range and meaning.
std::string reference();

} // namespace savorytrail::settings
