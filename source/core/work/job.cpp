#include "core/work/job.h"

#include <algorithm>

namespace savorytrail::work {
namespace {

bool asks_for_less_than_nothing(const step& it) {
    return it.task_resources.cpu_millis < 0 || it.task_resources.memory_mb < 0 ||
           it.task_resources.accelerators < 0 || it.estimate.count() < 0;
}

bool follows_earlier_steps_only(const step& it, int index) {
    return std::all_of(it.depends_on.begin(), it.depends_on.end(),
                       [index](int earlier) { return earlier >= 0 && earlier < index; });
}

} // namespace

std::string_view find_defect(const job& it) {
    if (it.steps.empty()) {
        return "the job has no steps";
    }
    int tasks = 0;
    for (int index = 0; index < static_cast<int>(it.steps.size()); index++) {
        const auto& step = it.steps[index];
        if (step.tasks < 1 || step.tasks > max_tasks_of_job - tasks) {
            return "the number of tasks is out of range";
        }
        tasks += step.tasks;
        if (asks_for_less_than_nothing(step)) {
            return "a step asks for less than nothing";
        }
        if (!follows_earlier_steps_only(step, index)) {
            return "a step comes after one that is not earlier";
        }
    }
    return "";
}

int job::tasks() const {
    int n = 0;
    for (const auto& it : steps) {
        n += it.tasks;
    }
    return n;
}

common::milliseconds job::critical_path_length() const {
    std::vector<common::milliseconds> ends;
    common::milliseconds longest{0};
    for (const auto& it : steps) {
        common::milliseconds begin{0};
        for (const int dependency : it.depends_on) {
            begin = std::max(begin, ends.at(dependency));
        }
        ends.push_back(begin + it.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

common::milliseconds job::path_length_after(int step) const {
    std::vector<common::milliseconds> paths(steps.size()); // of steps that depend on it
    common::milliseconds longest{0};
    std::vector<bool> is_after(steps.size(), false);
    is_after.at(step) = true;
    for (std::size_t i = static_cast<std::size_t>(step) + 1; i < steps.size(); i++) {
        for (const int dependency : steps[i].depends_on) {
            if (is_after.at(dependency)) {
                is_after[i] = true;
                paths[i] = std::max(paths[i], paths[dependency] + steps[i].estimate);
            }
        }
        longest = std::max(longest, paths[i]);
    }
    return longest;
}

common::milliseconds job::objective() const {
    const auto chain = static_cast<double>(critical_path_length().count());
    return common::milliseconds(static_cast<std::int64_t>(chain * queue.stretch)) + queue.target;
}

double job::cpu_demand() const {
    double sum = 0;
    for (const auto& it : steps) {
        sum += static_cast<double>(it.tasks) * static_cast<double>(it.task_resources.cpu_millis) *
               static_cast<double>(it.estimate.count());
    }
    return sum;
}

std::string_view to_string(job_end end) {
    switch (end) {
    case job_end::succeeded:
        return "succeeded";
    case job_end::failed:
        return "failed";
    case job_end::not_run:
        return "not_run";
    case job_end::given_up:
        return "given_up";
    case job_end::cancelled:
        return "cancelled";
    }
    return "";
}

} // namespace savorytrail::work
