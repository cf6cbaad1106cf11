// Answers that can be derived from an id alone.
#include "core/submission/answers.h"

namespace savorytrail::submission {
namespace {

constexpr common::milliseconds fresh_id_retry{200};

shared_answer make(job::answer_state state, job::reason why, std::string detail, std::size_t tasks,
                   job::task_state each, std::optional<common::milliseconds> retry_after) {
    job::answer it;
    it.state = state;
    it.why = why;
    it.detail = std::move(detail);
    it.tasks.assign(tasks, each);
    it.retry_after = retry_after;
    return std::make_shared<const job::answer>(std::move(it));
}

} // namespace

shared_answer make_expired_answer(std::size_t tasks) {
    return make(job::answer_state::failed, job::reason::id_expired,
                "the submission id is past its lifetime; nothing more starts under it", tasks,
                job::task_state::unknown, std::nullopt);
}

shared_answer make_never_submitted_answer(std::size_t tasks) {
    return make(job::answer_state::refused, job::reason::stopping,
                "the entry that issued this id stopped before a submission came in", tasks,
                job::task_state::not_run, fresh_id_retry);
}

} // namespace savorytrail::submission
