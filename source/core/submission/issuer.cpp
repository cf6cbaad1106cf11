// Issues and verifies submission ids. The tag is an HMAC under a key known only to this process and
// its successors, so that no other party can forge an id for which this home would start tasks.
#include "core/submission/issuer.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cstring>

namespace savorytrail::submission {

issuer::issuer(std::string_view vm_name, const common::clock& clock, common::random_source& random,
               common::milliseconds lifetime)
    : m_clock(clock), m_started(clock.now()),
      m_lifetime(lifetime), m_self{random.next(), random.next()}, m_vm(vm_number(vm_name)) {
    for (std::size_t i = 0; i < m_key.size(); i += sizeof(std::uint64_t)) {
        const std::uint64_t bits = random.next();
        std::memcpy(&m_key.at(i), &bits, sizeof(bits));
    }
}

std::vector<submission_id> issuer::issue(std::size_t count) {
    const auto age = std::chrono::duration_cast<common::milliseconds>(m_clock.now() - m_started);
    const auto expires = static_cast<std::uint32_t>((age + m_lifetime).count());
    std::uint64_t sequence = m_sequence.fetch_add(count);

    std::vector<submission_id> ids;
    ids.reserve(count);
    for (std::size_t i = 0; i < count; i++) {
        submission_id id{m_self, m_vm, expires, sequence++, 0};
        id.tag = tag_of(id, m_key);
        ids.push_back(id);
    }
    return ids;
}

bool issuer::is_genuine(const submission_id& id) const {
    return id.home == m_self && id.vm == m_vm && id.tag == tag_of(id, m_key);
}

common::time_point issuer::expiry(const submission_id& id) const {
    return m_started + common::milliseconds(id.expires_ms);
}

issuer_credentials issuer::credentials(common::time_point now) const {
    const auto age = std::chrono::duration_cast<common::milliseconds>(now - m_started);
    return {m_self, m_vm, m_key, age, m_lifetime};
}

std::uint64_t tag_of(const submission_id& id, const issuing_key& key) {
    const std::array<std::uint64_t, 2> message = {id.sequence, id.expires_ms};
    std::array<unsigned char, EVP_MAX_MD_SIZE> sum{};
    unsigned int n = 0;
    HMAC(EVP_sha256(), key.data(), key.size(),
         reinterpret_cast<const unsigned char*>(message.data()), sizeof(message), sum.data(), &n);
    std::uint64_t tag = 0;
    std::memcpy(&tag, sum.data(), sizeof(tag));
    return tag;
}

} // namespace savorytrail::submission
