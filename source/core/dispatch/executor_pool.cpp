// Slot accounting. A view is refreshed after each change of its member.
#include "core/dispatch/executor_pool.h"

#include <algorithm>

namespace savorytrail::dispatch {
namespace {

constexpr std::size_t overdue_tasks_to_eject = 2;
constexpr std::size_t overdue_divisor = 4; // an ejection needs 1 in this many running tasks overdue

std::uint32_t idle_of(const executor_view& it) {
    return it.slots > it.running ? it.slots - it.running : 0;
}

} // namespace

void executor_pool::set_own(const std::vector<executor_share>& shares) {
    for (auto& it : m_members)
        it.own = 0;
    for (const auto& share : shares) {
        member& it = find_or_add(share.executor);
        it.own = share.slots;
        if (*it.executor != share.executor)
            it.executor = std::make_shared<const manifest::executor>(share.executor);
    }
    for (std::size_t i = 0; i < m_members.size(); i++)
        refresh(i);
    remove_unused();
}

std::size_t executor_pool::find(const std::string& executor) const {
    const auto found = m_index.find(executor);
    return found == m_index.end() ? m_members.size() : found->second;
}

shared_executor executor_pool::begin(std::size_t index, const submission::submission_id& id,
                                     std::uint32_t task, common::milliseconds slow_after,
                                     common::time_point now) {
    member& it = m_members.at(index);
    it.running.push_back({id, task, slow_after, now});
    m_running++;
    refresh(index);
    return it.executor;
}

void executor_pool::end(const task_start& done, completion outcome, common::time_point now) {
    const std::size_t index = find(done.executor->name);
    if (index == m_members.size())
        return;
    member& it = m_members[index];
    const auto found =
        std::find_if(it.running.begin(), it.running.end(), [&done](const running_task& task) {
            return task.id == done.id && task.task == done.task;
        });
    if (found == it.running.end())
        return;
    const running_task ended = *found;
    *found = it.running.back();
    it.running.pop_back();
    m_running--;

    if (m_ejects && outcome != completion::dropped) {
        task_grade grade = task_grade::bad;
        if (outcome == completion::answered)
            grade = ended.is_overdue(now) ? task_grade::slow : task_grade::good;
        it.health.record(grade, ended.start_time, now);
        eject_if_due(index, now);
    }
    refresh(index);
    if (it.is_unused())
        remove_unused();
}

void executor_pool::tick(common::time_point now) {
    if (!m_ejects)
        return;
    for (std::size_t i = 0; i < m_members.size(); i++) {
        m_members[i].health.tick(now);
        eject_if_due(i, now);
        refresh(i);
        m_views[i].is_suspect = overdue_tasks(m_members[i], now) > 0;
    }
}

std::vector<executor_slots> executor_pool::lend(std::uint32_t wanted) {
    std::vector<executor_slots> lent;
    for (std::size_t i = 0; i < m_members.size() && wanted > 0; i++) {
        member& it = m_members[i];
        if (it.health.current() != executor_health::state::healthy || it.own <= it.lent)
            continue;
        const auto n = std::min({wanted, it.own - it.lent, idle_of(m_views[i])});
        if (n == 0)
            continue;
        it.lent += n;
        wanted -= n;
        lent.push_back({it.executor->name, n});
        refresh(i);
    }
    return lent;
}

void executor_pool::take_back(const executor_slots& it) {
    const std::size_t index = find(it.executor);
    if (index == m_members.size())
        return;
    member& target = m_members[index];
    target.lent -= std::min(target.lent, it.slots);
    refresh(index);
    if (target.is_unused())
        remove_unused();
}

void executor_pool::add_borrowed(const manifest::executor& executor, std::uint32_t slots) {
    find_or_add(executor).borrowed += slots;
    refresh(find(executor.name));
}

std::uint32_t executor_pool::give_back(const executor_slots& it) {
    const std::size_t index = find(it.executor);
    if (index == m_members.size())
        return 0;
    const member& target = m_members[index];
    const auto running = static_cast<std::uint32_t>(target.running.size());
    const std::uint32_t idle = target.usable() > running ? target.usable() - running : 0;
    const auto n = std::min({it.slots, target.borrowed, idle});
    end_borrowed({it.executor, n});
    return n;
}

void executor_pool::end_borrowed(const executor_slots& it) {
    const std::size_t index = find(it.executor);
    if (index == m_members.size())
        return;
    member& target = m_members[index];
    target.borrowed -= std::min(target.borrowed, it.slots);
    refresh(index);
    if (target.is_unused())
        remove_unused();
}

std::vector<executor_slots> executor_pool::idle_borrowed() const {
    std::vector<executor_slots> idle;
    for (const auto& it : m_members) {
        const auto running = static_cast<std::uint32_t>(it.running.size());
        if (it.borrowed > 0 && it.usable() > running)
            idle.push_back({it.executor->name, std::min(it.borrowed, it.usable() - running)});
    }
    return idle;
}

std::size_t executor_pool::idle_own() const {
    std::size_t n = 0;
    for (std::size_t i = 0; i < m_members.size(); i++) {
        const member& it = m_members[i];
        n += std::min(idle_of(m_views[i]), it.own > it.lent ? it.own - it.lent : 0);
    }
    return n;
}

std::size_t executor_pool::lent() const {
    std::size_t n = 0;
    for (const auto& it : m_members)
        n += std::min(it.own, it.lent);
    return n;
}

bool executor_pool::owns(const std::string& executor) const {
    const std::size_t index = find(executor);
    return index < m_members.size() && m_members[index].own > 0;
}

std::vector<std::string> executor_pool::ejected_borrowed() const {
    std::vector<std::string> names;
    for (const auto& it : m_members) {
        if (it.borrowed > 0 && it.health.current() == executor_health::state::ejected)
            names.push_back(it.executor->name);
    }
    return names;
}

void executor_pool::eject(const std::string& executor, common::time_point now) {
    const std::size_t index = find(executor);
    if (!m_ejects || index == m_members.size())
        return;
    member& it = m_members[index];
    if (it.health.current() != executor_health::state::healthy || !may_eject(it))
        return;
    it.health.eject(now);
    refresh(index);
}

std::size_t executor_pool::ejected() const {
    return std::count_if(m_members.begin(), m_members.end(),
                         [](const member& it) { return it.health.is_out_of_service(); });
}

executor_pool::member& executor_pool::find_or_add(const manifest::executor& executor) {
    const auto [found, is_new] = m_index.try_emplace(executor.name, m_members.size());
    if (is_new) {
        m_members.emplace_back();
        m_members.back().executor = std::make_shared<const manifest::executor>(executor);
        m_views.emplace_back();
    }
    return m_members[found->second];
}

void executor_pool::refresh(std::size_t index) {
    const member& it = m_members[index];
    executor_view& view = m_views[index];
    m_slots -= view.slots;
    m_idle -= idle_of(view);
    view.running = static_cast<std::uint32_t>(it.running.size());
    view.slots = it.health.allowed(it.usable());
    view.is_borrowed = it.own == 0;
    // One that should be ejected but may not be, since too many are, gets one task at a time.
    if (m_ejects && it.health.should_eject())
        view.slots = std::min<std::uint32_t>(view.slots, 1);
    m_slots += view.slots;
    m_idle += idle_of(view);
}

void executor_pool::remove_unused() {
    std::size_t kept = 0;
    for (std::size_t i = 0; i < m_members.size(); i++) {
        if (m_members[i].is_unused()) {
            m_index.erase(m_members[i].executor->name);
            continue;
        }
        if (kept != i) {
            m_members[kept] = std::move(m_members[i]);
            m_views[kept] = m_views[i];
        }
        m_index[m_members[kept].executor->name] = kept;
        kept++;
    }
    m_members.resize(kept);
    m_views.resize(kept);
}

void executor_pool::eject_if_due(std::size_t index, common::time_point now) {
    member& it = m_members[index];
    if (it.health.is_out_of_service() && !is_overdue(it, now))
        return;
    if (!it.health.should_eject() && !is_overdue(it, now))
        return;
    if (may_eject(it))
        it.health.eject(now);
}

bool executor_pool::may_eject(const member& it) const {
    const std::size_t most = std::max<std::size_t>(m_members.size() / max_ejected_divisor, 1);
    const std::size_t others = ejected() - (it.health.is_out_of_service() ? 1 : 0);
    return m_members.size() >= 2 && others < most;
}

std::size_t executor_pool::overdue_tasks(const member& it, common::time_point now) {
    return std::count_if(
        it.running.begin(), it.running.end(), [now, &it](const running_task& task) {
            return it.health.started_since_ejection(task.start_time) && task.is_overdue(now);
        });
}

// A healthy executor is overdue when at least two of its running tasks (one if it has a single
// slot) and at least a quarter of them are overdue; a probing or recovering one when any is.
bool executor_pool::is_overdue(const member& it, common::time_point now) {
    if (it.health.current() == executor_health::state::ejected)
        return false;
    const std::size_t overdue = overdue_tasks(it, now);
    if (it.health.current() != executor_health::state::healthy)
        return overdue > 0;
    const std::size_t needed =
        std::min<std::size_t>(overdue_tasks_to_eject, std::max(it.own + it.borrowed, 1U));
    return overdue >= needed && overdue * overdue_divisor >= it.running.size();
}

} // namespace savorytrail::dispatch
