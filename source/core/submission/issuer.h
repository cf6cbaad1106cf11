// Issues submission ids for one incarnation and recognises its own.
#pragma once

#include <array>
#include <atomic>
#include <vector>

#include "core/common/clock.h"
#include "core/common/random.h"
#include "core/submission/submission_id.h"

namespace savorytrail::submission {

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
    bool is_expired(const submission_id& id) const { return m_clock.now() >= expiry(id); }

private:
    std::uint64_t tag_of(const submission_id& id) const;

    const common::clock& m_clock;
    const common::time_point m_started;
    const common::milliseconds m_lifetime;
    const incarnation m_self;
    const std::uint32_t m_vm;
    std::array<unsigned char, 32> m_key{};    // never leaves the process
    std::atomic<std::uint64_t> m_sequence{1}; // only grows
};

} // namespace savorytrail::submission
