// The follower's threads: one sends heartbeats, one receives them, one reads the platform, and one
// fetches from peers. Platform calls have their own thread: they may block until their timeout.
#include "core/propagation/follower.h"

#include <algorithm>

#include "core/configuration/record.h"
#include "core/membership/targets.h"
#include "core/propagation/reader_choice.h"
#include "core/telemetry/log.h"

namespace savorytrail::propagation {
namespace {

using common::milliseconds;
using membership::peer_status;
using telemetry::log_line;
using telemetry::severity;

constexpr milliseconds tick{50}; // interval at which threads check for work and for the stop
constexpr std::size_t max_queried_entries = 8; // in one round

} // namespace

follower::follower(follower_options options, follower_dependencies dependencies,
                   heartbeat_contributor contribute, message_counter count_message)
    : m_options(std::move(options)), m_dependencies(dependencies),
      m_contribute(std::move(contribute)), m_count_message(std::move(count_message)),
      m_start_time(dependencies.clock.now()),
      m_client(dependencies.channels, m_options.call_timeout), m_last_heard(m_start_time),
      m_rotation(m_options.self.low) {}

follower::~follower() {
    {
        const std::lock_guard lock(m_mutex);
        m_is_stopping = true;
        m_changed.notify_all();
    }
    for (auto& it : m_threads)
        it.join();
}

std::error_code follower::start() {
    if (const auto ec = m_socket.bind(m_options.listen))
        return ec;
    m_threads.emplace_back([this] { send_heartbeats(); });
    m_threads.emplace_back([this] { receive_heartbeats(); });
    m_threads.emplace_back([this] { read_platform(); });
    m_threads.emplace_back([this] { fetch_from_peers(); });
    return {};
}

void follower::announce(membership::entry_state state) {
    m_state = state;
    send_round();
}

void follower::send_heartbeats() {
    do
        send_round();
    while (sleep(m_dependencies.view.limits().heartbeat));
}

void follower::send_round() {
    membership::heartbeat full;
    full.vm = submission::vm_number(m_dependencies.view.self().name);
    full.incarnation = m_options.self;
    full.state = m_state;
    full.configuration_version = m_dependencies.configuration.version();
    full.list_revision = m_dependencies.directory.revision();
    full.platform_reachable = m_platform_reachable;
    m_contribute(full);

    const auto peers = m_dependencies.view.peers(m_dependencies.clock.now());
    const std::lock_guard lock(m_round_mutex);
    full.sequence = ++m_sequence;
    const auto datagram = encode(m_composer.next(full));
    for (const auto& it : heartbeat_targets(m_dependencies.view.self(), peers, m_round++)) {
        m_socket.send(it.address, datagram);
        m_count_message("heartbeat");
    }
}

void follower::receive_heartbeats() {
    for (;;) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_is_stopping)
                return;
        }
        const auto datagram = m_socket.receive(tick);
        const auto it = datagram ? membership::decode(*datagram) : std::nullopt;
        const auto now = m_dependencies.clock.now();
        if (!it || !m_dependencies.view.receive(*it, now))
            continue;
        m_last_heard = now;
        if (it->configuration_version > m_dependencies.configuration.version() ||
            it->list_revision > m_dependencies.directory.revision())
            trigger_fetch();
    }
}

void follower::read_platform() {
    auto last = common::time_point::min();
    do {
        if (!is_read_due(last))
            continue;
        last = m_dependencies.clock.now();
        const auto version = m_dependencies.configuration.version();
        const auto revision = m_dependencies.directory.revision();
        const bool has_list = read_live_list();
        const bool has_configuration = read_configuration();
        if (has_configuration)
            m_has_caught_up = true;
        m_platform_reachable = has_list && has_configuration;
        if (m_dependencies.configuration.version() != version ||
            m_dependencies.directory.revision() != revision)
            send_round(); // announces the change without waiting for the next round
    } while (sleep(tick));
}

bool follower::is_read_due(common::time_point last) const {
    if (last == common::time_point::min())
        return true;
    auto period = read_period(m_dependencies.view.self().failure_domain,
                              m_dependencies.view.self().name, candidates(), m_options.poll);
    // Reads the platform once to learn the address of an entry that a peer reported.
    if (!period && m_dependencies.directory.needs_own_read())
        period = m_options.poll;
    return period && m_dependencies.clock.now() - last >= *period;
}

std::vector<reader_candidate> follower::candidates() const {
    const auto& self = m_dependencies.view.self();
    std::vector<reader_candidate> values{{self.name, m_platform_reachable}};
    for (const auto& it : m_dependencies.view.peers(m_dependencies.clock.now())) {
        if (it.failure_domain == self.failure_domain && it.state == membership::liveness::live)
            values.push_back({it.name, !it.last_heard || it.last.platform_reachable});
    }
    return values;
}

bool follower::read_configuration() {
    auto newer =
        configuration::read_newer(m_dependencies.table, m_dependencies.configuration.version());
    // The row does not exist before the first apply, and may not be readable if a later version of
    // the program wrote it.
    if (!newer && newer.error() != common::error::not_found &&
        newer.error() != common::error::malformed) {
        m_configuration_reachability.note_failure(newer.error());
        return false;
    }
    m_configuration_reachability.note_success();
    if (newer && newer.value())
        m_dependencies.configuration.offer(std::move(*newer.value()));
    return true;
}

bool follower::read_live_list() {
    const auto changes = m_dependencies.list.read_newer(m_dependencies.directory.own_revision());
    if (!changes) {
        m_live_list_reachability.note_failure(changes.error());
        return false;
    }
    m_live_list_reachability.note_success();
    if (changes.value().revision > m_dependencies.directory.own_revision()) {
        m_dependencies.directory.update(changes.value());
        update_view();
    }
    return true;
}

void follower::update_view() {
    const std::lock_guard lock(m_view_mutex);
    m_dependencies.view.update(m_dependencies.directory.entries(), m_dependencies.clock.now());
}

void follower::fetch_from_peers() {
    auto last_query = common::time_point::min();
    for (;;) {
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait_for(lock, m_options.poll,
                               [this] { return m_is_stopping || m_is_fetch_due; });
            if (m_is_stopping)
                return;
            m_is_fetch_due = false;
        }
        fetch_newer();
        const auto now = m_dependencies.clock.now();
        if (is_isolated() &&
            (last_query == common::time_point::min() || now - last_query >= m_options.poll)) {
            last_query = now;
            query_known_entries();
        }
    }
}

// Fetches from one peer after another until this entry has the newest announced versions.
void follower::fetch_newer() {
    for (const auto& it : rotated_peers()) {
        if (it.last.list_revision > m_dependencies.directory.revision())
            fetch_live_list(it.address);
        if (it.last.configuration_version > m_dependencies.configuration.version())
            fetch_configuration(it.address);
    }
}

// The peers that have sent heartbeats, those of the own failure domain first. Each call starts at
// another peer to spread the load.
std::vector<peer_status> follower::rotated_peers() {
    auto peers = m_dependencies.view.peers(m_dependencies.clock.now());
    std::erase_if(peers, [](const auto& it) { return !it.last_heard; });
    if (!peers.empty())
        std::rotate(peers.begin(),
                    peers.begin() + static_cast<std::ptrdiff_t>(m_rotation++ % peers.size()),
                    peers.end());
    const auto is_same_domain = [&](const auto& it) {
        return it.failure_domain == m_dependencies.view.self().failure_domain;
    };
    std::stable_partition(peers.begin(), peers.end(), is_same_domain);
    return peers;
}

bool follower::fetch_configuration(const common::endpoint& from) {
    m_count_message("fetch");
    auto newer = m_client.fetch_configuration(from, m_dependencies.configuration.version());
    if (!newer)
        return false;
    if (newer.value() && m_dependencies.configuration.offer(std::move(*newer.value())))
        send_round();
    return true;
}

bool follower::fetch_live_list(const common::endpoint& from) {
    m_count_message("fetch");
    const auto changes = m_client.fetch_live_list(from, m_dependencies.directory.revision());
    if (!changes)
        return false;
    if (changes.value().revision > m_dependencies.directory.revision()) {
        m_dependencies.directory.update_from_peer(changes.value());
        update_view();
        send_round();
    }
    return true;
}

// Whether this entry receives changes neither from the platform nor through heartbeats: when it
// starts during an outage, and while the other entries' live list does not contain it.
bool follower::is_isolated() const {
    if (m_platform_reachable)
        return false;
    return !m_has_caught_up || m_dependencies.clock.now() - m_last_heard.load() >
                                   m_dependencies.view.limits().suspect_after;
}

// Adopts the highest version of the entries that reply. The seeds are queried first.
void follower::query_known_entries() {
    bool has_reply = false;
    for (const auto& it : known_entries()) {
        if (fetch_live_list(it))
            has_reply = fetch_configuration(it) || has_reply;
    }
    if (has_reply && m_dependencies.configuration.version() > 0)
        m_has_caught_up = true;
}

std::vector<common::endpoint> follower::known_entries() const {
    std::vector<common::endpoint> values = m_options.seeds;
    for (const auto& it : m_dependencies.view.peers(m_dependencies.clock.now()))
        values.push_back(it.address);
    std::erase(values, m_options.listen);
    if (values.size() > max_queried_entries)
        values.resize(max_queried_entries);
    return values;
}

bool follower::sleep(milliseconds time) {
    std::unique_lock lock(m_mutex);
    return !m_changed.wait_for(lock, time, [this] { return m_is_stopping; });
}

void follower::trigger_fetch() {
    const std::lock_guard lock(m_mutex);
    m_is_fetch_due = true;
    m_changed.notify_all();
}

} // namespace savorytrail::propagation
