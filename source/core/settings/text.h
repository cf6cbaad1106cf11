// Small text helpers of the settings subsystem: file reading and TOML spelling of values.
#pragma once

#include <string>
#include <string_view>

#include "core/common/error.h"

namespace savorytrail::settings {

common::result<std::string> read_file(const std::string& path);

// A TOML basic string with its quotes.
std::string quoted(std::string_view text);

// The shortest decimal spelling, without an exponent.
std::string decimal(double value);

} // namespace savorytrail::settings
