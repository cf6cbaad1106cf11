// The reference page of all settings, written from the schema.
#pragma once

#include <string>

namespace savorytrail::settings {

// Markdown: every key of the settings and of the manifest with unit, default, range and meaning.
std::string reference();

} // namespace savorytrail::settings
