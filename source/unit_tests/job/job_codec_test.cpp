// Tests of the conversion of jobs and answers to and from messages.
#include "core/job/job_codec.h"

#include <gtest/gtest.h>

#include "peer.pb.h"

namespace savorytrail::job {
namespace {

const job s_sample{"t", "u", common::milliseconds(5), {{"/a", "x", true, common::milliseconds(2)}}};

TEST(job_codec, jobs_round_trip) {
    schema::job_message message;
    to_message(s_sample, message);
    EXPECT_EQ(from_message(message), s_sample);
}

TEST(job_codec, answers_round_trip) {
    answer value{answer_state::failed,
                 reason::task_unknown,
                 "detail",
                 {{200, "body"}},
                 {task_state::ran, task_state::unknown},
                 common::milliseconds(7)};
    schema::answer_message message;
    to_message(value, message);
    EXPECT_EQ(from_message(message), value);
}

TEST(job_codec, rejects_enumerators_out_of_range) {
    schema::answer_message message;
    message.set_state(99);
    EXPECT_EQ(from_message(message), std::nullopt);
    message.set_state(0);
    message.add_tasks(3);
    EXPECT_EQ(from_message(message), std::nullopt);
}

TEST(job_digest, differs_when_any_field_differs) {
    job other = s_sample;
    EXPECT_EQ(digest(other), digest(s_sample));
    other.tasks[0].idempotent = false;
    EXPECT_NE(digest(other), digest(s_sample));
}

} // namespace
} // namespace savorytrail::job
