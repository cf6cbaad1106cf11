// Issues and verifies the submission ids of one incarnation.
#pragma once

#include <array>
#include <atomic>
#include <vector>

#include "core/common/clock.h"
#include "core/common/random.h"
#include "core/submission/submission_id.h"

namespace savorytrail::submission {

using issuing_key = std::array<unsigned char, 32>;

// The tag of an id issued under the key.
std::uint64_t tag_of(const submission_id& id, const issuing_key& key);

// What a successor needs to verify the ids of a stopped incarnation.
struct issuer_credentials {
    incarnation home;
    std::uint32_t vm = 0;
    issuing_key key{};
    common::milliseconds age{0};      // of the incarnation when it stopped
    common::milliseconds lifetime{0}; // of an id

    bool operator==(const issuer_credentials&) const = default;
};

class issuer {
public:
    issuer(std::string_view vm_name, const common::clock& clock, common::random_source& random,
           common::milliseconds lifetime);

    const incarnation& self() const { return m_self; }
    common::milliseconds lifetime() const { return m_lifetime; }

    std::vector<submission_id> issue(std::size_t count);

    // Whether this incarnation issued the id.
    bool is_genuine(const submission_id& id) const;

    common::time_point expiry(const submission_id& id) const;
    // When an id that is issued now expires.
    common::time_point latest_expiry() const { return m_clock.now() + m_lifetime; }
    bool is_expired(const submission_id& id) const { return m_clock.now() >= expiry(id); }

    // The credentials as of `now`, for the successor.
    issuer_credentials credentials(common::time_point now) const;

private:
    const common::clock& m_clock;
    const common::time_point m_started;
    const common::milliseconds m_lifetime;
    const incarnation m_self;
    const std::uint32_t m_vm;
    issuing_key m_key{};                      // sent only to the successor
    std::atomic<std::uint64_t> m_sequence{1}; // monotonic
};

} // namespace savorytrail::submission
