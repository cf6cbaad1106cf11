// Rendezvous hashing: every process with the same set of names makes the same choice. Removing a
// name changes only the choices of that name; an added name takes over only its own share.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace savorytrail::common {

// The weight of the name for the key; the same in every process.
std::uint64_t rendezvous_weight(const std::string& key, const std::string& name);

// The name with the highest weight for the key; empty when there are no names.
std::string rendezvous_choice(const std::string& key, const std::vector<std::string>& names);

} // namespace savorytrail::common
