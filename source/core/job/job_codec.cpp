// Converts jobs and answers to and from messages; computes the digest of jobs.
#include "core/job/job_codec.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <openssl/sha.h>

#include "peer.pb.h"

namespace savorytrail::job {

void to_message(const job& value, schema::job_message& out) {
    out.set_team(value.team);
    out.set_upstream(value.upstream);
    out.set_deadline_ms(value.deadline.count());
    for (const auto& it : value.tasks) {
        auto* task = out.add_tasks();
        task->set_path(it.path);
        task->set_body(it.body);
        task->set_idempotent(it.idempotent);
        task->set_expected_ms(it.expected.count());
    }
}

job from_message(const schema::job_message& message) {
    job value{message.team(), message.upstream(), common::milliseconds(message.deadline_ms()), {}};
    value.tasks.reserve(message.tasks_size());
    for (const auto& it : message.tasks())
        value.tasks.push_back(
            {it.path(), it.body(), it.idempotent(), common::milliseconds(it.expected_ms())});
    return value;
}

void to_message(const answer& value, schema::answer_message& out) {
    out.set_state(static_cast<std::uint32_t>(value.state));
    out.set_reason(static_cast<std::uint32_t>(value.why));
    out.set_detail(value.detail);
    for (const auto& it : value.results) {
        auto* result = out.add_results();
        result->set_status(it.status);
        result->set_body(it.body);
    }
    for (const auto state : value.tasks)
        out.add_tasks(static_cast<std::uint32_t>(state));
    if (value.retry_after)
        out.set_retry_after_ms(value.retry_after->count());
}

std::optional<answer> from_message(const schema::answer_message& message) {
    if (message.state() > static_cast<std::uint32_t>(answer_state::unavailable) ||
        message.reason() > static_cast<std::uint32_t>(reason::retries_exhausted))
        return std::nullopt;

    answer value;
    value.state = static_cast<answer_state>(message.state());
    value.why = static_cast<reason>(message.reason());
    value.detail = message.detail();
    for (const auto& it : message.results())
        value.results.push_back({static_cast<int>(it.status()), it.body()});
    for (const auto state : message.tasks()) {
        if (state > static_cast<std::uint32_t>(task_state::unknown))
            return std::nullopt;
        value.tasks.push_back(static_cast<task_state>(state));
    }
    if (message.retry_after_ms() > 0)
        value.retry_after = common::milliseconds(message.retry_after_ms());
    return value;
}

std::string digest(const job& value) {
    schema::job_message message;
    to_message(value, message);
    std::string buf;
    {
        google::protobuf::io::StringOutputStream stream(&buf);
        google::protobuf::io::CodedOutputStream coded(&stream);
        coded.SetSerializationDeterministic(true);
        message.SerializeToCodedStream(&coded);
    }
    std::string sum(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char*>(buf.data()), buf.size(),
           reinterpret_cast<unsigned char*>(sum.data()));
    return sum;
}

} // namespace savorytrail::job
