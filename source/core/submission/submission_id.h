// Submission ids. Each names the incarnation that issued it, which is its home: the only process
// that may ever start the submission's tasks.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savorytrail::submission {

// One run of an entry process. A random value, so that it is never reused and cannot be guessed.
struct incarnation {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const incarnation&) const = default;

    template <typename H>
    friend H AbslHashValue(H state, const incarnation& it) {
        return H::combine(std::move(state), it.high, it.low);
    }
};

std::string to_string(const incarnation& value); // 32 hexadecimal digits
std::optional<incarnation> parse_incarnation(std::string_view text);

struct submission_id {
    incarnation home;
    std::uint32_t vm = 0;         // vm_number() of the home's VM, a hint for finding the home
    std::uint32_t expires_ms = 0; // by the home's clock, from the start of its incarnation
    std::uint64_t sequence = 0;   // unique within the home
    std::uint64_t tag = 0;        // HMAC under the home's key; proves that the home issued the id

    auto operator<=>(const submission_id&) const = default;

    template <typename H>
    friend H AbslHashValue(H state, const submission_id& it) {
        return H::combine(std::move(state), it.home, it.sequence);
    }
};

// "s1_" and 54 characters of URL-safe base 64.
std::string to_string(const submission_id& value);
std::optional<submission_id> parse_submission_id(std::string_view text);

// The number that identifies a VM in ids: a hash of its name, the same in every process.
std::uint32_t vm_number(std::string_view vm_name);

} // namespace savorytrail::submission
