// Rendezvous hashing over SHA-256.
#include "core/common/rendezvous.h"

#include <openssl/sha.h>

#include <array>

namespace savorytrail::common {

std::uint64_t rendezvous_weight(const std::string& key, const std::string& name) {
    const std::string text = key + '\n' + name;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::uint64_t n = 0;
    for (std::size_t i = 0; i < sizeof(n); i++) {
        n |= std::uint64_t{digest[i]} << (8 * i); // the same on processors of either byte order
    }
    return n;
}

std::string rendezvous_choice(const std::string& key, const std::vector<std::string>& names) {
    std::string chosen;
    std::uint64_t highest = 0;
    for (const auto& it : names) {
        const std::uint64_t n = rendezvous_weight(key, it);
        if (chosen.empty() || n > highest) {
            chosen = it;
            highest = n;
        }
    }
    return chosen;
}

} // namespace savorytrail::common
