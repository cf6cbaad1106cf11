#include "core/fleet/describe_link.h"

namespace savorytrail::fleet {
namespace {

using common::milliseconds;

std::string heartbeat_age(const peer* it, common::time_point now) {
    if (it == nullptr || !it->last_heard) {
        return "no heartbeat yet";
    }
    const auto age = std::chrono::duration_cast<milliseconds>(now - *it->last_heard);
    return "last heartbeat " + std::to_string(age.count()) + " ms ago";
}

std::string liveness(const view& of, const std::string& name, common::time_point now) {
    return of.is_live(name, now) ? "" : ", not live";
}

} // namespace

std::string describe_last_heartbeat(const view& of, const std::string& name,
                                    common::time_point now) {
    return heartbeat_age(of.find(name), now) + liveness(of, name, now);
}

std::string describe_link(const view& of, const std::string& name, common::time_point now) {
    const auto* it = of.find(name);
    auto text = heartbeat_age(it, now);
    if (it != nullptr && it->last_heard) {
        text += it->heard_this_entry
                    ? ", it had heard this entry " + std::to_string(it->heard_this_entry->count()) +
                          " ms before"
                    : ", it had not heard this entry";
    }
    return text + liveness(of, name, now);
}

} // namespace savorytrail::fleet
