// The configuration in force in this process. Versions come from the platform and from peers, in
// any order and more than once; the highest stays.
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

    // Puts the offered version in force and tells the subscribers if it is above the current one.
    bool offer(manifest::versioned_manifest offered);

    // Calls `receive` with the configuration in force, if there is one, and with every later one,
    // in the order of their versions. `receive` must not call offer() or subscribe().
    void subscribe(subscriber receive);

private:
    void set_current(pointer next);

    // Held while subscribers are called, so that two offers cannot reach them in the wrong order.
    std::mutex m_offer_mutex;
    std::vector<subscriber> m_subscribers; // guarded by m_offer_mutex

    mutable std::mutex m_mutex;
    pointer m_current; // guarded by m_mutex; its version never goes down
};

} // namespace savorytrail::configuration
