// Rendezvous hashing: every process that knows the same names makes the same choice, and a name
// that comes or goes changes only the choices that concern it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace savorytrail::common {

// The same in every process.
std::uint64_t rendezvous_weight(const std::string& key, const std::string& name);

// The name of the highest weight for the key; empty when there are no names.
std::string rendezvous_choice(const std::string& key, const std::vector<std::string>& names);

} // namespace savorytrail::common
