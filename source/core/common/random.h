// The interface for random numbers: cryptographic in the programs, seeded in tests.
#pragma once

#include <cstdint>
#include <random>

namespace savorytrail::common {

class random_source {
public:
    virtual ~random_source() = default;
    virtual std::uint64_t next() = 0;

protected:
    random_source() = default;
    random_source(const random_source&) = default;
    random_source& operator=(const random_source&) = default;
};

// Unpredictable bits from OpenSSL's cryptographic generator. Safe to call from any thread.
class secure_random final : public random_source {
public:
    std::uint64_t next() override;
};

// A reproducible sequence for tests.
class seeded_random final : public random_source {
public:
    explicit seeded_random(std::uint64_t seed) : m_engine(seed) {}
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace savorytrail::common
