// Callers by the platform's rules: a job is sent with a patience; after no answer by then, a broken
// connection or an answer that it was given up, it is sent again 1.3 s later, to any entry. The way
// between a caller and its entry may be cut in each direction; then the caller sees nothing until
// its patience ends, and the entry sees no disconnect.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "core/work/job.h"
#include "unit_tests/cells/simulated_time.h"

namespace savorytrail::cells {

class simulated_entry;
class simulated_fleet;

struct simulated_call {
    simulated_entry* at = nullptr;
    std::size_t caller = 0;
    std::uint64_t ticket = 0; // 0 until the job has arrived
    bool is_open_at_caller = true;
    bool is_open_at_entry = true;
    bool cuts_requests = false;
    bool cuts_answers = false;
};

class simulated_callers {
public:
    static constexpr common::milliseconds resend_delay{1300};

    explicit simulated_callers(simulated_fleet& fleet) : m_fleet(fleet) {}

    // Returns the caller's number.
    std::size_t submit(const work::job& job);
    std::size_t size() const { return m_callers.size(); }
    // How its job ended; nullopt while the caller goes on.
    std::optional<work::job_end> end_of(std::size_t caller) const { return m_callers[caller].end; }
    const std::string& job_of(std::size_t caller) const { return m_callers[caller].job.id; }
    // Whether each caller's job has ended, or was answered as given up at `since` or later.
    bool are_all_answered(common::time_point since) const;
    bool is_answered(std::size_t caller, common::time_point since) const;
    bool have_all_ended() const;

    // Calls that are open at the caller's end.
    std::vector<std::shared_ptr<simulated_call>> open_calls() const;
    // The caller sees its connection break, and the entry is told within 50 ms; nothing happens if
    // the way between them is cut.
    void reset(const std::shared_ptr<simulated_call>& it);
    void on_entry_ended(const simulated_entry& entry);

    // Chooses the entry for a caller's next attempt, counted from 0; by default a random live one.
    std::function<int(std::size_t caller, int attempt)> choose_entry;

private:
    struct caller_state {
        work::job job;
        int attempts = 0;
        std::optional<work::job_end> end;
        common::time_point given_up_at; // latest answer that the job was given up
    };

    void send(std::size_t number);
    void send_again(std::size_t number);
    void arrive(const std::shared_ptr<simulated_call>& it);
    void receive(const std::shared_ptr<simulated_call>& it, const work::outcome& outcome);
    void break_at_caller(const std::shared_ptr<simulated_call>& it);
    void leave(const std::shared_ptr<simulated_call>& it, common::milliseconds delay);
    int choose_live_entry();

    simulated_fleet& m_fleet;
    std::vector<caller_state> m_callers;
    std::vector<std::shared_ptr<simulated_call>> m_calls;
};

} // namespace savorytrail::cells
