// Encodes and decodes hand-over messages.
#include "core/handover/codec.h"

#include <algorithm>

#include "core/job/job_codec.h"
#include "handover.pb.h"

namespace savorytrail::handover {
namespace {

constexpr std::size_t part_bytes = 4 << 20; // a part ends with the record that reaches this size

void credentials_to_message(const submission::issuer_credentials& value,
                            schema::issuing_range& out) {
    to_message(value.home, *out.mutable_home());
    out.set_vm(value.vm);
    out.set_key(value.key.data(), value.key.size());
    out.set_age_ms(value.age.count());
    out.set_lifetime_ms(value.lifetime.count());
}

schema::claimed_key key_message(const claim::claimed_key& value) {
    schema::claimed_key message;
    message.set_key(value.key);
    message.set_version(value.version);
    return message;
}

std::optional<submission::issuer_credentials>
read_credentials(const schema::issuing_range& message) {
    submission::issuer_credentials value;
    if (message.key().size() != value.key.size())
        return std::nullopt;
    value.home = from_message(message.home());
    value.vm = message.vm();
    std::copy(message.key().begin(), message.key().end(), value.key.begin());
    value.age = common::milliseconds(message.age_ms());
    value.lifetime = common::milliseconds(message.lifetime_ms());
    return value;
}

} // namespace

void to_message(const submission::incarnation& value, schema::incarnation& out) {
    out.set_high(value.high);
    out.set_low(value.low);
}

submission::incarnation from_message(const schema::incarnation& message) {
    return {message.high(), message.low()};
}

std::vector<schema::handover_part> to_parts(const home_snapshot& value) {
    std::vector<schema::handover_part> parts(1);
    credentials_to_message(value.credentials, *parts.back().mutable_range());
    for (const auto& it : value.keys)
        *parts.back().add_keys() = key_message(it);
    std::size_t bytes = 0;
    for (const auto& it : value.records) {
        if (bytes >= part_bytes) {
            parts.emplace_back();
            credentials_to_message(value.credentials, *parts.back().mutable_range());
            bytes = 0;
        }
        auto* record = parts.back().add_records();
        record->set_submission_id(submission::to_string(it.id));
        record->set_digest(it.digest);
        job::to_message(*it.answer, *record->mutable_answer());
        bytes += record->ByteSizeLong();
    }
    return parts;
}

bool add_part(const schema::handover_part& part, std::vector<home_snapshot>& snapshots) {
    const auto credentials = read_credentials(part.range());
    if (!credentials)
        return false;
    if (snapshots.empty() || snapshots.back().credentials != *credentials)
        snapshots.push_back({*credentials, {}, {}});
    home_snapshot& value = snapshots.back();
    for (const auto& it : part.keys())
        value.keys.push_back({it.key(), it.version()});
    for (const auto& it : part.records()) {
        const auto id = submission::parse_submission_id(it.submission_id());
        auto answer = job::from_message(it.answer());
        if (!id || !answer || !job::is_final(answer->state))
            return false;
        value.records.push_back(
            {*id, it.digest(), std::make_shared<const job::answer>(std::move(*answer))});
    }
    return true;
}

void to_message(const std::vector<successor_notice>& value, schema::heir_notices& out) {
    for (const auto& it : value) {
        auto* notice = out.add_notices();
        to_message(it.stopped, *notice->mutable_gone());
        notice->set_heir_vm(it.successor.vm);
        notice->set_heir_address(it.successor.address.to_string());
        to_message(it.successor.incarnation, *notice->mutable_heir());
        notice->set_lifetime_ms(it.lifetime.count());
    }
}

std::vector<successor_notice> from_message(const schema::heir_notices& message) {
    std::vector<successor_notice> notices;
    for (const auto& it : message.notices()) {
        const auto address = common::parse_endpoint(it.heir_address());
        if (!address)
            continue;
        notices.push_back({from_message(it.gone()),
                           {it.heir_vm(), *address, from_message(it.heir())},
                           common::milliseconds(it.lifetime_ms())});
    }
    return notices;
}

} // namespace savorytrail::handover
