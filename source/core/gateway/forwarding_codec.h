// Encoding of jobs and outcomes that entries forward to each other.
#pragma once

#include <optional>
#include <string>

#include "core/gateway/lease_messages.h"
#include "core/work/job.h"

namespace savorytrail::gateway {

struct passed_job {
    work::job job;
    std::string from; // name of the forwarding entry
    // Of this forward, unique in the incarnation of that entry; 0 from entries of the previous
    // version, which grant no leases.
    std::uint64_t number = 0;
    std::uint64_t from_incarnation = 0;
    // The dispatcher's latest that the entry has received: the caller was still waiting then.
    std::optional<lease_stamp> stamp;

    bool operator==(const passed_job&) const = default;
};

struct abandoned_job {
    std::string id;
    std::string from;
    std::uint64_t number = 0; // of the forward, as in passed_job

    bool operator==(const abandoned_job&) const = default;
};

// A request to end a job for good, whoever waits for it.
struct cancelled_job {
    std::string id;
    std::string queue; // a job of that id in another queue is not meant

    bool operator==(const cancelled_job&) const = default;
};

std::string encode(const passed_job& it);
std::optional<passed_job> decode_job(const std::string& bytes);
std::string encode(const work::outcome& it);
std::optional<work::outcome> decode_outcome(const std::string& bytes);
std::string encode(const abandoned_job& it);
std::optional<abandoned_job> decode_abandoned(const std::string& bytes);
std::string encode(const cancelled_job& it);
std::optional<cancelled_job> decode_cancelled(const std::string& bytes);
// Whether the job was open at the entry that answers.
std::string encode_cancel_answer(bool was_open);
std::optional<bool> decode_cancel_answer(const std::string& bytes);

} // namespace savorytrail::gateway
