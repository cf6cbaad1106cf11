// A caller's side of an integration test: ids, submissions and their answers over HTTP.
#pragma once

#include <cstdint>
#include <future>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/common/endpoint.h"

namespace savorytrail::integration {

struct task_spec {
    std::string path = "/work/a?ms=50";
    std::string body;
    bool idempotent = true;
    int expected_ms = 50;
};

struct job_spec {
    std::string team = "brana";
    std::string upstream = "booking";
    int deadline_ms = 20000;
    std::vector<task_spec> tasks;

    std::string to_json() const;
};

// `count` tasks of `ms` each; the body of task i is `name` and i.
job_spec make_job(const std::string& name, std::size_t count, int ms);

struct job_answer {
    int status = 0; // HTTP; 0 when no answer came
    std::string text;
    std::string state;
    std::string reason;
    std::vector<std::string> task_states;
    std::vector<std::string> echoes; // what each result's executor was sent
    int retry_after_ms = 0;
    std::string error_field;

    bool is_final() const { return state == "complete" || state == "failed" || state == "refused"; }
};

// Empty when the entry issued none.
std::string new_id(const common::endpoint& entry);

job_answer submit(const common::endpoint& entry, const std::string& id, const job_spec& job,
                  int wait_ms = 15000);
job_answer submit_text(const common::endpoint& entry, const std::string& id,
                       const std::string& body, int wait_ms = 15000);
job_answer query(const common::endpoint& entry, const std::string& id, int wait_ms = 0);
job_answer cancel(const common::endpoint& entry, const std::string& id);

std::future<job_answer> submit_later(const common::endpoint& entry, const std::string& id,
                                     const job_spec& job, int wait_ms = 15000);

// Resubmits until the answer is final or the bound has passed; returns the last answer.
job_answer submit_until_final(const common::endpoint& entry, const std::string& id,
                              const job_spec& job, common::milliseconds bound);

// Under a client key; an empty key sends no header.
job_answer submit_with_key(const common::endpoint& entry, const std::string& key,
                           const job_spec& job, int wait_ms = 15000);

// Whether the answer is complete and every result echoes the job's own body.
bool has_all_results(const job_answer& answer, const job_spec& job);

} // namespace savorytrail::integration
