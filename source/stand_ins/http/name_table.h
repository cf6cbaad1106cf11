// Conversion between enumerators and their names in JSON bodies.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace savorytrail::stand_ins {

template <class Enum, std::size_t N>
using name_table = std::array<std::pair<std::string_view, Enum>, N>;

template <class Enum, std::size_t N>
std::optional<Enum> find_value(const name_table<Enum, N>& table, std::string_view name) {
    for (const auto& [text, value] : table) {
        if (text == name)
            return value;
    }
    return std::nullopt;
}

template <class Enum, std::size_t N>
std::string_view find_name(const name_table<Enum, N>& table, Enum value) {
    for (const auto& [text, it] : table) {
        if (it == value)
            return text;
    }
    return {};
}

} // namespace savorytrail::stand_ins
