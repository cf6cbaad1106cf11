#include "core/gateway/lease_messages.h"

#include "fleet.pb.h"

namespace savorytrail::gateway {
namespace {

// Marks the messages and their version.
constexpr std::uint32_t request_magic = 0x53564c01;
constexpr std::uint32_t answer_magic = 0x53564c02;

// Whether the first field, which is written first, holds the mark. Spares parsing other datagrams.
bool has_magic(const std::string& bytes, std::uint32_t magic) {
    constexpr char tag_of_magic = 0x0d; // field 1, four bytes, the lowest first
    if (bytes.size() < 1 + sizeof magic || bytes[0] != tag_of_magic) {
        return false;
    }
    std::uint32_t found = 0;
    for (std::size_t i = 0; i < sizeof magic; i++) {
        found |= std::uint32_t{static_cast<unsigned char>(bytes[1 + i])} << (8 * i);
    }
    return found == magic;
}

void encode_stamp(const lease_stamp& it, schema::lease_stamp* out) {
    out->set_incarnation(it.incarnation);
    out->set_ms(it.at.count());
}

lease_stamp decode_stamp(const schema::lease_stamp& it) {
    return {it.incarnation(), common::milliseconds(it.ms())};
}

} // namespace

std::string encode(const lease_request& it) {
    schema::lease_request message;
    message.set_magic(request_magic);
    message.set_dispatcher(it.dispatcher);
    encode_stamp(it.stamp, message.mutable_stamp());
    message.set_incarnation(it.incarnation);
    message.mutable_numbers()->Assign(it.numbers.begin(), it.numbers.end());
    return message.SerializeAsString();
}

std::string encode(const lease_answer& it) {
    schema::lease_answer message;
    message.set_magic(answer_magic);
    message.set_entry(it.entry);
    message.set_incarnation(it.incarnation);
    encode_stamp(it.stamp, message.mutable_stamp());
    message.mutable_held()->Assign(it.held.begin(), it.held.end());
    message.mutable_released()->Assign(it.released.begin(), it.released.end());
    return message.SerializeAsString();
}

std::optional<lease_request> decode_lease_request(const std::string& bytes) {
    schema::lease_request message;
    if (!has_magic(bytes, request_magic) || !message.ParseFromString(bytes) ||
        message.dispatcher().empty()) {
        return std::nullopt;
    }
    return lease_request{message.dispatcher(),
                         decode_stamp(message.stamp()),
                         message.incarnation(),
                         {message.numbers().begin(), message.numbers().end()}};
}

std::optional<lease_answer> decode_lease_answer(const std::string& bytes) {
    schema::lease_answer message;
    if (!has_magic(bytes, answer_magic) || !message.ParseFromString(bytes) ||
        message.entry().empty()) {
        return std::nullopt;
    }
    return lease_answer{message.entry(),
                        message.incarnation(),
                        decode_stamp(message.stamp()),
                        {message.held().begin(), message.held().end()},
                        {message.released().begin(), message.released().end()}};
}

} // namespace savorytrail::gateway
