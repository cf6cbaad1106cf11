// Rendezvous hashing over SHA-256, which every process computes alike.
#include "core/dispatch/partition.h"

#include <openssl/sha.h>

#include <array>
#include <cstring>

namespace savorytrail::dispatch {
namespace {

std::uint64_t weight(const std::string& executor, const std::string& entry) {
    const std::string text = executor + '\n' + entry;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> sum{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), sum.data());
    std::uint64_t n = 0;
    std::memcpy(&n, sum.data(), sizeof(n));
    return n;
}

} // namespace

std::string owner_of(const std::string& executor, const std::vector<std::string>& entries) {
    std::string owner;
    std::uint64_t highest = 0;
    for (const auto& it : entries) {
        const std::uint64_t n = weight(executor, it);
        if (owner.empty() || n > highest) {
            owner = it;
            highest = n;
        }
    }
    return owner;
}

std::vector<manifest::executor> owned_executors(const manifest::upstream& upstream,
                                                const std::string& failure_domain,
                                                const std::string& self,
                                                const std::vector<std::string>& entries) {
    std::vector<manifest::executor> owned;
    for (const auto& it : upstream.executors) {
        if (it.failure_domain == failure_domain && owner_of(it.name, entries) == self)
            owned.push_back(it);
    }
    return owned;
}

} // namespace savorytrail::dispatch
