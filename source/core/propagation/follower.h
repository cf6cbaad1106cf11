// Keeps this entry's configuration, live list and view of the other entries up to date: sends and
// receives heartbeats, reads the platform if this entry is the reader of its failure domain, and
// fetches from peers the newer versions that their heartbeats announce.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string_view>
#include <system_error>
#include <thread>
#include <vector>

#include "core/common/clock.h"
#include "core/common/endpoint.h"
#include "core/configuration/holder.h"
#include "core/membership/datagram_socket.h"
#include "core/membership/directory.h"
#include "core/membership/heartbeat.h"
#include "core/membership/view.h"
#include "core/platform/platform.h"
#include "core/propagation/client.h"
#include "core/propagation/reachability.h"

namespace savorytrail::propagation {

struct follower_options {
    submission::incarnation self;
    common::endpoint listen; // for heartbeats
    std::vector<common::endpoint> seeds;
    common::milliseconds poll{1000};
    common::milliseconds call_timeout{1000};
};

// The objects that a follower reads and updates. All must outlive it.
struct follower_dependencies {
    platform::table& table;
    platform::live_list& list;
    peer::channel_pool& channels;
    configuration::holder& configuration;
    membership::directory& directory;
    membership::view& view;
    const common::clock& clock;
};

struct reader_candidate;

class follower {
public:
    // Adds the data of other subsystems to a heartbeat: idle slots and demand.
    using heartbeat_contributor = std::function<void(membership::heartbeat&)>;
    // Called with the kind of each message sent to a peer.
    using message_counter = std::function<void(std::string_view)>;

    follower(
        follower_options options, follower_dependencies dependencies,
        heartbeat_contributor contribute, message_counter count_message = [](std::string_view) {});
    ~follower();
    follower(const follower&) = delete;
    follower& operator=(const follower&) = delete;

    std::error_code start();

    // Announces to the other entries, without delay, that this one is stopping or has left.
    void announce(membership::entry_state state);

    // Whether, since the start, the configuration was compared with the platform's or with those of
    // the reachable peers.
    bool has_caught_up() const { return m_has_caught_up; }

private:
    void send_heartbeats();
    void send_round();
    void receive_heartbeats();
    void read_platform();
    void fetch_from_peers();

    bool is_read_due(common::time_point last) const;
    std::vector<reader_candidate> candidates() const;
    bool read_configuration();
    bool read_live_list();
    void update_view();

    void fetch_newer();
    bool fetch_configuration(const common::endpoint& from);
    bool fetch_live_list(const common::endpoint& from);
    bool is_isolated() const;
    void query_known_entries();
    std::vector<common::endpoint> known_entries() const;
    std::vector<membership::peer_status> rotated_peers();

    bool sleep(common::milliseconds time);
    void trigger_fetch();

    const follower_options m_options;
    const follower_dependencies m_dependencies;
    const heartbeat_contributor m_contribute;
    const message_counter m_count_message;
    const common::time_point m_start_time;
    client m_client;
    membership::datagram_socket m_socket;

    std::mutex m_view_mutex; // held while the directory's entries are copied to the view
    std::mutex m_round_mutex;
    membership::heartbeat_composer m_composer; // guarded by m_round_mutex
    std::uint64_t m_sequence = 0;              // guarded by m_round_mutex
    std::uint64_t m_round = 0;                 // guarded by m_round_mutex

    std::atomic<membership::entry_state> m_state{membership::entry_state::serving};
    // The next two are used only by the thread that reads the platform.
    reachability m_configuration_reachability{"configuration"};
    reachability m_live_list_reachability{"live_list"};
    std::atomic<bool> m_platform_reachable{true};
    std::atomic<bool> m_has_caught_up{false};
    std::atomic<common::time_point> m_last_heard; // of any entry
    std::size_t m_rotation;                       // used only by the fetching thread

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_stopping = false;  // guarded by m_mutex
    bool m_is_fetch_due = false; // guarded by m_mutex
    std::vector<std::thread> m_threads;
};

} // namespace savorytrail::propagation
