// Final answers that can be derived from an id alone, so that its home and the home's successor
// give the same ones.
#pragma once

#include <cstddef>

#include "core/submission/ledger.h"

namespace savorytrail::submission {

// The id is past its lifetime and nothing is recorded under it: what ran is no longer known.
shared_answer make_expired_answer(std::size_t tasks);

// The home stopped permanently before anything was submitted under the id: no task ran or will run.
shared_answer make_never_submitted_answer(std::size_t tasks);

} // namespace savorytrail::submission
