// HTTP client of the integration tests: requests ids, submits jobs and parses the answers.
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

// `count` tasks of `ms` milliseconds each; the body of task i is "NAME i".
job_spec make_job(const std::string& name, std::size_t count, int ms);

struct job_answer {
    int status = 0; // HTTP status; 0 if no response arrived
    std::string text;
    std::string state;
    std::string reason;
    std::vector<std::string> task_states;
    std::vector<std::string> echoes; // for each result, the request body that the executor echoed
    int retry_after_ms = 0;
    std::string error_field;

    bool is_final() const { return state == "complete" || state == "failed" || state == "refused"; }
};

// Requests one submission id; empty if the entry issued none.
std::string new_id(const common::endpoint& entry);

job_answer submit(const common::endpoint& entry, const std::string& id, const job_spec& job,
                  int wait_ms = 15000);
job_answer submit_text(const common::endpoint& entry, const std::string& id,
                       const std::string& body, int wait_ms = 15000);
job_answer query(const common::endpoint& entry, const std::string& id, int wait_ms = 0);
job_answer cancel(const common::endpoint& entry, const std::string& id);

std::future<job_answer> submit_later(const common::endpoint& entry, const std::string& id,
                                     const job_spec& job, int wait_ms = 15000);

// Resubmits until the answer is final or `bound` has elapsed; returns the last answer.
job_answer submit_until_final(const common::endpoint& entry, const std::string& id,
                              const job_spec& job, common::milliseconds bound);

// Submits under a client key in the Idempotency-Key header; an empty key omits the header.
job_answer submit_with_key(const common::endpoint& entry, const std::string& key,
                           const job_spec& job, int wait_ms = 15000);

// Whether the answer is complete and each result echoes the body of the job's task.
bool has_all_results(const job_answer& answer, const job_spec& job);

} // namespace savorytrail::integration
