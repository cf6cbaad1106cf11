// One incarnation of an entry under test: the production decision logic with a fake network, table,
// executors and clock.
#pragma once

#include <memory>
#include <string>

#include "core/claim/resolve_claims.h"
#include "core/dispatch/dispatcher.h"
#include "core/handover/hand_over.h"
#include "core/handover/inherited_submissions.h"
#include "core/home/home.h"
#include "core/membership/directory.h"
#include "core/routing/home_handler.h"
#include "core/routing/router.h"

namespace savorytrail::fleet {

constexpr common::milliseconds id_lifetime{1000};

// A clock with its own origin, as each VM's monotonic clock has.
class shifted_clock final : public common::clock {
public:
    shifted_clock(const common::clock& base, common::milliseconds shift)
        : m_base(base), m_shift(shift) {}
    common::time_point now() const override { return m_base.now() + m_shift; }

private:
    const common::clock& m_base;
    const common::milliseconds m_shift;
};

struct entry_dependencies {
    std::string name;
    int serial = 0; // unique over all incarnations of all VMs
    common::milliseconds clock_shift{0};
    home::task_sink sink;
    peer::forwarder* peers = nullptr;
    platform::table* table = nullptr;
};

class entry_instance {
public:
    entry_instance(const entry_dependencies& dependencies, const common::clock& clock);
    entry_instance(const entry_instance&) = delete;
    entry_instance& operator=(const entry_instance&) = delete;

    void tick();
    void set_manifest(bool with_upstream);
    // Closes the home and gathers the state that the successor needs.
    std::vector<handover::home_snapshot> close();

    const std::string name;
    const int serial;
    bool is_frozen = false;
    bool is_stopping = false;
    bool is_closed = false;

private:
    shifted_clock m_clock;
    common::seeded_random m_random;

public:
    submission::issuer ids;
    submission::ledger ledger;
    dispatch::dispatcher dispatcher;
    home::home home;
    membership::directory directory;
    handover::inherited_submissions inherited;
    handover::successor_registry successors;
    routing::home_handler handler;
    routing::router router;
};

} // namespace savorytrail::fleet
