// The cases of the third review. Each plays on a small deployment of its own, writes what it sees to the record, and
// returns the exit code of run.sh. The variable TROUBLE=0 leaves the disruption out.
#pragma once

namespace review {

class record;

// The POST of a cancelled job arrives once more, at an entry of another zone.
int late_resend_elsewhere(record& log);
// An executor answers with an unknown field that is nested deeply.
int malformed_answers(record& log);

} // namespace review
