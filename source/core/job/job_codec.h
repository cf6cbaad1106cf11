// Converts jobs and answers to and from the messages that entries exchange. Also computes the
// digest by which a home recognises a resubmission.
#pragma once

#include <optional>
#include <string>

#include "core/job/job.h"

namespace savorytrail::schema {
class answer_message;
class job_message;
} // namespace savorytrail::schema

namespace savorytrail::job {

void to_message(const job& value, schema::job_message& out);
job from_message(const schema::job_message& message);

void to_message(const answer& value, schema::answer_message& out);
// Returns nullopt when an enumerator is out of range.
std::optional<answer> from_message(const schema::answer_message& message);

// SHA-256 over the job's fields; equal jobs have equal digests in every process.
std::string digest(const job& value);

} // namespace savorytrail::job
