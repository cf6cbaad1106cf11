// Final answers that follow from an id alone, the same at its home and at the home's heir.
#pragma once

#include <cstddef>

#include "core/submission/ledger.h"

namespace savorytrail::submission {

// The id is past its lifetime and nothing is recorded under it: what ran is no longer known.
shared_answer make_expired_answer(std::size_t tasks);

// The home stopped for good before anything was submitted under the id: nothing ran or will run.
shared_answer make_never_submitted_answer(std::size_t tasks);

} // namespace savorytrail::submission
