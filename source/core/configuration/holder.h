// Holds this process's current configuration. Versions arrive from the platform and from peers in
// any order and repeatedly; the highest one is kept.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "core/manifest/manifest.h"

namespace savorytrail::configuration {

class holder {
public:
    using pointer = std::shared_ptr<const manifest::versioned_manifest>;
    using subscriber = std::function<void(const pointer&)>;

    // Null until the first offer.
    pointer current() const;

    // 0 until the first offer.
    std::uint64_t version() const;

    // Makes the offered version current and notifies the subscribers if it is higher than the
    // current one. Returns whether it was.
    bool offer(manifest::versioned_manifest offered);

    // Calls `receive` with the current configuration, if any, and with each later one, in order of
    // version. `receive` must not call offer() or subscribe().
    void subscribe(subscriber receive);

private:
    void set_current(pointer next);

    // Held while subscribers are called, so that they receive offers in order of version.
    std::mutex m_offer_mutex;
    std::vector<subscriber> m_subscribers; // guarded by m_offer_mutex

    mutable std::mutex m_mutex;
    pointer m_current; // guarded by m_mutex; its version never decreases
};

} // namespace savorytrail::configuration
