// Commands of the fleet fuzzer, as values that RapidCheck can shrink and print.
#pragma once

#include <ostream>
#include <vector>

namespace savorytrail::fleet {

enum class action {
    submit,           // a new id, at any entry
    resubmit,         // an id in use, at any entry, possibly with another body
    submit_key,       // under a client key, at any entry
    issue,            // an id that may be used later
    query,            //
    cancel,           //
    run_task,         // an executor starts a request that was sent
    finish_task,      // an executor answers, fails or leaves the outcome unknown
    refuse_task,      // a connection to an executor is refused
    unexpected_start, // a start requested from the ledger, as by a faulty dispatcher
    deliver,          // a delayed message arrives
    network_fault,    // the next message is dropped, delayed, duplicated, or loses its reply
    partition,        //
    clear_partitions, //
    crash,            //
    restart,          // a new incarnation at the same address
    freeze,           //
    unfreeze,         //
    stop,             // a planned stop begins
    hand_over,        // the stop continues: the home closes, hands over and announces
    table_fault,      // the next table calls fail or lose their replies
    refresh_list,     // an entry reads the live list, which may be wrong about a VM
    set_manifest,     // an entry puts a manifest in force, with or without the upstream
    advance,          // time passes
    count_of_actions
};

struct command {
    action kind = action::advance;
    int a = 0;
    int b = 0;
    int c = 0;

    bool operator==(const command&) const = default;
};

std::ostream& operator<<(std::ostream& out, const command& it);

} // namespace savorytrail::fleet
