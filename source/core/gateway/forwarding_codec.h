// Encoding of jobs and outcomes that entries forward to each other.
#pragma once

#include <optional>
#include <string>

#include "core/work/job.h"

namespace savorytrail::gateway {

struct passed_job {
    work::job job;
    std::string from; // name of the forwarding entry

    bool operator==(const passed_job&) const = default;
};

struct abandoned_job {
    std::string id;
    std::string from;

    bool operator==(const abandoned_job&) const = default;
};

std::string encode(const passed_job& it);
std::optional<passed_job> decode_job(const std::string& bytes);
std::string encode(const work::outcome& it);
std::optional<work::outcome> decode_outcome(const std::string& bytes);
std::string encode(const abandoned_job& it);
std::optional<abandoned_job> decode_abandoned(const std::string& bytes);

} // namespace savorytrail::gateway
