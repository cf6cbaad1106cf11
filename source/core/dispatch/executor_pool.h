// The executors that a queue may use, their health, and their slots: own slots, slots lent to other
// entries, and slots borrowed from other entries.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/dispatch/executor_health.h"
#include "core/dispatch/policy.h"
#include "core/dispatch/types.h"

namespace savorytrail::dispatch {

class executor_pool {
public:
    // At most 1 in this many executors may be ejected at a time; with two or more, one always may.
    static constexpr std::size_t max_ejected_divisor = 2;

    explicit executor_pool(bool ejects) : m_ejects(ejects) {}

    // Replaces the own slots. Tasks on a removed executor continue.
    void set_own(const std::vector<executor_share>& shares);

    // Has the same indices as begin().
    const std::vector<executor_view>& views() const { return m_views; }
    // Index of the executor, or the number of executors when there is none of that name.
    std::size_t find(const std::string& executor) const;

    // Occupies a slot. The task is overdue after `slow_after`, which is zero when not known.
    shared_executor begin(std::size_t index, const submission::submission_id& id,
                          std::uint32_t task, common::milliseconds slow_after,
                          common::time_point now);
    // Frees the slot.
    void end(const task_start& done, completion outcome, common::time_point now);

    // Ejects executors whose running tasks are overdue, and ends back-offs that have elapsed.
    void tick(common::time_point now);

    // Lends up to `wanted` idle own slots of healthy executors.
    std::vector<executor_slots> lend(std::uint32_t wanted);
    void take_back(const executor_slots& it);

    void add_borrowed(const manifest::executor& executor, std::uint32_t slots);
    // Releases up to `it.slots` idle borrowed slots; returns how many.
    std::uint32_t give_back(const executor_slots& it);
    // Removes borrowed slots. Tasks on them continue.
    void end_borrowed(const executor_slots& it);
    std::vector<executor_slots> idle_borrowed() const;

    std::size_t slots() const { return m_slots; }
    std::size_t idle() const { return m_idle; }
    std::size_t idle_own() const;
    std::size_t lent() const; // own slots lent to other entries
    bool owns(const std::string& executor) const;
    std::vector<std::string> ejected_borrowed() const;
    // Ejects a healthy executor, unless too many are ejected.
    void eject(const std::string& executor, common::time_point now);
    std::size_t running() const { return m_running; }
    std::size_t ejected() const;

private:
    struct running_task {
        submission::submission_id id;
        std::uint32_t task = 0;
        common::milliseconds slow_after{0};
        common::time_point start_time;

        bool is_overdue(common::time_point now) const {
            return slow_after.count() > 0 && now - start_time > slow_after;
        }
    };

    struct member {
        shared_executor executor;
        std::uint32_t own = 0;
        std::uint32_t lent = 0; // of the own ones
        std::uint32_t borrowed = 0;
        std::vector<running_task> running;
        executor_health health;

        std::uint32_t usable() const { return (own > lent ? own - lent : 0) + borrowed; }
        bool is_unused() const { return own + lent + borrowed == 0 && running.empty(); }
    };

    member& find_or_add(const manifest::executor& executor);
    void refresh(std::size_t index);
    void remove_unused();
    void eject_if_due(std::size_t index, common::time_point now);
    bool may_eject(const member& it) const;
    static std::size_t overdue_tasks(const member& it, common::time_point now);
    static bool is_overdue(const member& it, common::time_point now);

    const bool m_ejects;
    std::vector<member> m_members;
    std::vector<executor_view> m_views; // parallel to m_members
    absl::flat_hash_map<std::string, std::size_t> m_index;
    std::size_t m_slots = 0;   // sum over m_views
    std::size_t m_idle = 0;    // sum over m_views
    std::size_t m_running = 0; // sum over m_members
};

} // namespace savorytrail::dispatch
