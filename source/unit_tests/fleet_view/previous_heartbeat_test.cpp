// Test of a rolling restart: an entry of the previous version among entries of this one. It sends
// heartbeats to every entry, and counts an entry as lost after 0.6 s without one.
#include "core/fleet/previous_heartbeat.h"

#include <gtest/gtest.h>

#include "core/fleet/heartbeat_sender.h"

namespace savorytrail::fleet {
namespace {

using common::milliseconds;

constexpr milliseconds step{50};
constexpr milliseconds previous_interval{150};
constexpr milliseconds previous_timeout{600};

struct entry {
    explicit entry(const std::string& name, common::time_point now)
        : fleet({name, "d", name, 2, 250}, 7000, {}, now), sender(fleet) {}

    view fleet;
    heartbeat_sender sender;
    std::optional<common::time_point> heard_by_previous;
    std::optional<milliseconds> heard_previous; // as its last heartbeat says
};

TEST(rolling_restart, entries_of_both_versions_count_each_other_as_live) {
    common::time_point now{std::chrono::hours(1)};
    std::vector<std::unique_ptr<entry>> entries;
    for (const auto* name : {"a", "b", "c"}) {
        entries.push_back(std::make_unique<entry>(name, now));
    }
    heartbeat previous;
    previous.sender = {"previous", "d", "previous", 1, 250};
    for (milliseconds elapsed{0}; elapsed < milliseconds(6000); elapsed += step) {
        now += step;
        if (elapsed % previous_interval == milliseconds(0)) {
            previous.status.sequence++;
            for (auto& it : entries) {
                auto sent = previous;
                if (it->heard_by_previous) {
                    sent.heard_recipient =
                        std::chrono::duration_cast<milliseconds>(now - *it->heard_by_previous);
                }
                const auto& name = it->fleet.self().name;
                const auto decoded = decode_previous(encode_previous(sent, {}, name), name);
                ASSERT_TRUE(decoded);
                it->fleet.receive(*decoded, "previous", now);
            }
        }
        for (auto& it : entries) {
            it->fleet.refresh(now);
            for (const auto& out : it->sender.due({}, now)) {
                if (out.recipient != "previous") {
                    continue;
                }
                ASSERT_TRUE(out.uses_previous_format);
                const auto bytes = encode_previous(out.content, {}, out.recipient);
                it->heard_by_previous = now;
                it->heard_previous = decode_previous(bytes, "previous")->content.heard_recipient;
            }
            if (elapsed < milliseconds(1000)) {
                continue;
            }
            EXPECT_TRUE(it->fleet.is_live("previous", now));
            ASSERT_TRUE(it->heard_by_previous && it->heard_previous);
            EXPECT_LE(now - *it->heard_by_previous, previous_timeout / 2);
            EXPECT_LE(*it->heard_previous, previous_timeout);
        }
    }
}

} // namespace
} // namespace savorytrail::fleet
