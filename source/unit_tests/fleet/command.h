// The commands that a fuzzed fleet carries out, as values that RapidCheck can shrink and print.
#pragma once

#include <ostream>
#include <vector>

namespace savorytrail::fleet {

enum class action {
    submit,       // a new id, at any entry
    resubmit,     // an id in use, at any entry, perhaps with another body
    submit_key,   // under a client key, at any entry
    issue,        // an id that is used later or never
    query,        //
    cancel,       //
    run_task,     // an executor begins a request that was sent
    finish_task,  // an executor answers, fails, or goes silent
    refuse_task,  // a connection to an executor is refused
    stray_start,  // a task is asked of the gate as a faulty dispatcher would
    deliver,      // a message that was held arrives
    net_fault,    // the next message is dropped, delayed, duplicated, or loses its reply
    cut,          //
    heal,         //
    crash,        //
    restart,      // a new incarnation at the same address
    freeze,       //
    wake,         //
    stop,         // a planned stop begins
    hand_over,    // it goes on: the home closes, hands over and announces
    store_fault,  // the next calls to the table fail, or lose their answers
    refresh_list, // an entry reads the live list, which may be wrong about a VM
    set_manifest, // an entry puts a manifest in force, with or without the upstream
    advance,      // time passes
    count_of_actions
};

struct command {
    action what = action::advance;
    int a = 0;
    int b = 0;
    int c = 0;

    bool operator==(const command&) const = default;
};

std::ostream& operator<<(std::ostream& out, const command& it);

} // namespace savorytrail::fleet
