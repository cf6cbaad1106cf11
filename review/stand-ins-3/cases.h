// The cases of the third review. Each plays on a small deployment of its own, writes what it sees to the record, and
// returns the exit code of run.sh. The variable TROUBLE=0 leaves the disruption out.
#pragma once

namespace review {

class record;

// A job is cancelled while the entry that runs it is cut off from the other entries.
int cancel_while_cut(record& log);
// The POST of a cancelled job arrives once more, at an entry that has been restarted since.
int late_resend_after_restart(record& log);
// The POST of a cancelled job arrives once more, at an entry of another zone.
int late_resend_elsewhere(record& log);
// An executor answers with an unknown field that is nested deeply.
int malformed_answers(record& log);
// A client sends a malformed job.
int malformed_bodies(record& log);

} // namespace review
