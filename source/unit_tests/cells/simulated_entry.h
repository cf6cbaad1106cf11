// One process of an entry: the product's classes, connected and driven as platform/entry_node.cpp
// does, on a simulated clock and network. It may end, lose its power, be paused (its clock goes on)
// or suspended (its clock stops), and its timers may be late.
#pragma once

#include "core/cell/dispatcher.h"
#include "core/common/random.h"
#include "core/common/stall_detector.h"
#include "core/fleet/assignment.h"
#include "core/fleet/heartbeat_sender.h"
#include "core/gateway/forwarding_service.h"
#include "core/gateway/gateway.h"
#include "unit_tests/cells/simulated_network.h"
#include "unit_tests/cells/simulated_orders.h"

namespace savorytrail::cells {

class simulated_fleet;

class simulated_entry final : public process,
                              public common::clock,
                              public cell::executor_observer,
                              public cell::job_observer,
                              public gateway::forwarding_client {
public:
    simulated_entry(simulated_fleet& fleet, int slot, std::uint64_t incarnation);

    static std::string name_of(int slot) { return "entry-" + std::to_string(slot); }
    const std::string& name() const { return m_view.self().name; }
    const fleet::view& view() const { return m_view; }
    const cell::dispatcher& dispatcher() const { return m_dispatcher; }
    std::size_t open_jobs() const { return m_gateway.open_jobs(); }
    std::size_t held_executors() const { return m_manager.held().size(); }

    // What a caller's connection does, as in platform/ingress.cpp.
    std::uint64_t submit(const work::job& job, cell::done_callback done);
    void abandon(std::uint64_t ticket) { m_gateway.abandon(ticket); }

    void end(bool with_power); // what it has sent may still arrive
    void pause(common::milliseconds time) { freeze(time, true); }
    void suspend(common::milliseconds time) { freeze(time, false); }
    bool is_running() const;
    common::milliseconds max_timer_lateness{0};

    common::time_point now() const override;
    common::milliseconds suspended() const override { return m_total_suspended; }
    int slot() const override { return m_slot; }
    bool is_alive() const override { return !m_has_ended; }
    bool has_power() const override { return m_has_power; }
    void deliver(std::function<void()> work) override;
    void after(common::milliseconds delay, std::function<void()> work) override;
    void on_datagram(const std::string& bytes, const common::endpoint& from) override;
    void on_request(const reactor::http_request& request,
                    const std::shared_ptr<reactor::responder>& answer) override;
    canceller forward(const common::endpoint& to, const gateway::passed_job& it,
                      callback done) override;
    void abandon(const common::endpoint& to, const gateway::abandoned_job& it) override;
    void executor_changed(const std::string& executor, std::string_view event,
                          std::string_view reason) override;
    void job_event(const std::string& job, std::string_view event,
                   const std::string& detail) override;

private:
    void freeze(common::milliseconds time, bool is_pause);
    void wait_until(common::time_point at, std::function<void()> work);
    void every(common::milliseconds period, const std::function<void()>& work);
    void tick();
    void check_for_stall();
    void assign();
    void send_heartbeats();
    void send_to(const std::string& entry, const std::string& bytes);
    fleet::entry_status own_status() const;
    std::vector<std::uint64_t> held_keys() const;

    simulated_fleet& m_fleet;
    const int m_slot;
    bool m_has_ended = false;
    bool m_has_power = true;
    bool m_is_paused = false; // the latest interruption was pause(), not suspend()
    common::time_point m_frozen_until;
    common::milliseconds m_total_suspended{0};
    cell::fence_sequence m_fences;
    common::stall_detector m_stalls;
    common::seeded_random m_random;
    simulated_orders m_orders;
    cell::executor_manager m_manager;
    cell::dispatcher m_dispatcher;
    fleet::view m_view;
    fleet::heartbeat_sender m_heartbeats{m_view};
    fleet::assignment m_assignment;
    gateway::gateway m_gateway;
    gateway::forwarding_service m_forwarding_service;
};

} // namespace savorytrail::cells
