#include "core/gateway/forwarding_codec.h"

#include <algorithm>

#include "core/cell/retry_after.h"
#include "fleet.pb.h"

namespace savorytrail::gateway {
namespace {

using common::milliseconds;

constexpr std::uint32_t max_earlier_offers = 1000;

milliseconds bounded(std::int64_t ms) {
    return std::clamp(milliseconds(ms), milliseconds(0), work::max_duration);
}

void encode_step(const work::step& it, schema::passed_step* out) {
    out->set_tasks(it.tasks);
    out->set_cpu_millis(it.task_resources.cpu_millis);
    out->set_memory_mb(it.task_resources.memory_mb);
    out->set_accelerators(it.task_resources.accelerators);
    out->set_estimate_ms(it.estimate.count());
    for (const int step : it.depends_on) {
        out->add_after(step);
    }
    out->set_required_label(it.required_label);
    out->set_preferred_rack(it.preferred_rack);
    out->set_max_per_executor(it.max_per_executor);
    out->set_image(it.image);
}

work::step decode_step(const schema::passed_step& it) {
    work::step step;
    step.tasks = it.tasks();
    step.task_resources = {it.cpu_millis(), it.memory_mb(), it.accelerators()};
    step.estimate = bounded(it.estimate_ms());
    step.depends_on.assign(it.after().begin(), it.after().end());
    step.required_label = it.required_label();
    step.preferred_rack = it.preferred_rack();
    step.max_per_executor = it.max_per_executor();
    step.image = it.image();
    return step;
}

} // namespace

std::string encode(const passed_job& it) {
    schema::passed_job message;
    message.set_id(it.job.id);
    message.set_payload(it.job.payload);
    for (const auto& step : it.job.steps) {
        encode_step(step, message.add_steps());
    }
    const auto& queue = it.job.queue;
    message.set_queue(queue.name);
    message.set_upstream(queue.upstream);
    message.set_priority(queue.priority);
    message.set_max_attempts(queue.max_attempts);
    message.set_stretch(queue.stretch);
    message.set_target_ms(queue.target.count());
    message.set_patience_ms(it.job.patience.count());
    message.set_waited_ms(it.job.waited.count());
    message.set_from(it.from);
    message.set_earlier_offers(static_cast<std::uint32_t>(std::max(it.job.earlier_offers, 0)));
    message.set_has_alternatives(it.job.has_alternatives);
    message.set_number(it.number);
    message.set_from_incarnation(it.from_incarnation);
    if (it.stamp) {
        message.mutable_stamp()->set_incarnation(it.stamp->incarnation);
        message.mutable_stamp()->set_ms(it.stamp->at.count());
    }
    return message.SerializeAsString();
}

std::optional<passed_job> decode_job(const std::string& bytes) {
    schema::passed_job message;
    if (!message.ParseFromString(bytes) || message.id().empty() || message.steps().empty()) {
        return std::nullopt;
    }
    passed_job it;
    it.job.id = message.id();
    it.job.payload = message.payload();
    for (const auto& step : message.steps()) {
        it.job.steps.push_back(decode_step(step));
    }
    if (!work::find_defect(it.job).empty()) {
        return std::nullopt;
    }
    it.job.queue = {message.queue(),        message.upstream(), message.priority(),
                    message.max_attempts(), message.stretch(),  bounded(message.target_ms())};
    it.job.patience = bounded(message.patience_ms());
    it.job.waited = bounded(message.waited_ms());
    it.job.earlier_offers =
        static_cast<int>(std::min<std::uint32_t>(message.earlier_offers(), max_earlier_offers));
    it.job.has_alternatives = message.has_alternatives();
    it.from = message.from();
    it.number = message.number();
    it.from_incarnation = message.from_incarnation();
    if (message.has_stamp()) {
        it.stamp = {message.stamp().incarnation(), milliseconds(message.stamp().ms())};
    }
    return it;
}

std::string encode(const work::outcome& it) {
    schema::passed_outcome message;
    message.set_end(static_cast<std::int32_t>(it.end));
    message.set_reason(it.reason);
    message.set_retry_after_ms(it.retry_after.count());
    message.set_lacked_executors(it.lacked_executors);
    message.set_would_be_late(it.would_be_late);
    return message.SerializeAsString();
}

std::optional<work::outcome> decode_outcome(const std::string& bytes) {
    schema::passed_outcome message;
    if (!message.ParseFromString(bytes) || message.end() < 0 ||
        message.end() > static_cast<std::int32_t>(work::job_end::cancelled)) {
        return std::nullopt;
    }
    return work::outcome{
        static_cast<work::job_end>(message.end()), message.reason(),
        std::clamp(milliseconds(message.retry_after_ms()), milliseconds(0), cell::max_retry_after),
        message.lacked_executors(), message.would_be_late()};
}

std::string encode(const abandoned_job& it) {
    schema::abandoned_job message;
    message.set_id(it.id);
    message.set_from(it.from);
    message.set_number(it.number);
    return message.SerializeAsString();
}

std::optional<abandoned_job> decode_abandoned(const std::string& bytes) {
    schema::abandoned_job message;
    if (!message.ParseFromString(bytes) || message.id().empty()) {
        return std::nullopt;
    }
    return abandoned_job{message.id(), message.from(), message.number()};
}

std::string encode(const cancelled_job& it) {
    schema::cancelled_job message;
    message.set_id(it.id);
    message.set_queue(it.queue);
    return message.SerializeAsString();
}

std::optional<cancelled_job> decode_cancelled(const std::string& bytes) {
    schema::cancelled_job message;
    if (!message.ParseFromString(bytes) || message.id().empty()) {
        return std::nullopt;
    }
    return cancelled_job{message.id(), message.queue()};
}

std::string encode_cancel_answer(bool was_open) {
    schema::cancel_answer message;
    message.set_was_open(was_open);
    return message.SerializeAsString();
}

std::optional<bool> decode_cancel_answer(const std::string& bytes) {
    schema::cancel_answer message;
    if (!message.ParseFromString(bytes)) {
        return std::nullopt;
    }
    return message.was_open();
}

} // namespace savorytrail::gateway
