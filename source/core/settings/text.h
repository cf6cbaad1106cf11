// Text helpers of the settings subsystem: reads files and formats values as TOML.
#pragma once

#include <string>
#include <string_view>

#include "core/common/error.h"

namespace savorytrail::settings {

common::result<std::string> read_file(const std::string& path);

// Formats a TOML basic string, including its quotes.
std::string quoted(std::string_view text);

// Formats the shortest decimal that parses to the same value, without an exponent.
std::string decimal(double value);

} // namespace savorytrail::settings
