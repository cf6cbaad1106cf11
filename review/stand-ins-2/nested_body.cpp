// Case 6: a client sends a job that can never be done: where a step's `after` should list numbers,
// it holds nested lists. The connection breaks, and the client sends the job again, to another node.
#include "platform.h"

using namespace review;

namespace {

constexpr std::int64_t resend_ms = 1300;    // resendMs
constexpr std::int64_t restart_ms = 200;    // until the platform starts a process again that ended
constexpr std::size_t max_body_bytes = 262144; // maxBodyBytes of the configuration
constexpr int ends_of_a_fault = 3;
constexpr int machines_of_a_fault = 2; // a tenth of six machines, two at least

std::string job_body() {
    const std::string head = R"({"bestEffort":true,"steps":[{"after":)";
    const std::string tail = "}]}";
    if (!has_trouble()) {
        return deployment::job({{2, 27000, 60}});
    }
    const auto depth = (max_body_bytes - head.size() - tail.size()) / 2;
    return head + std::string(depth, '[') + std::string(depth, ']') + tail;
}

int play() {
    deployment fleet({"zilina", "banska", "martin"}, 2, 4);
    fleet.configure(2, {{"r-confirm", "/q/"}});
    for (std::size_t i = 0; i < fleet.size(); i++) {
        fleet.start_entry(i);
    }
    if (!fleet.wait_until_serving("/q/", {0, 1, 2, 3, 4, 5})) {
        return 2;
    }
    const auto id = deployment::next_id();
    const auto body = job_body();
    std::vector<int> ends(fleet.size(), 0);
    const std::size_t nodes_of_zone = 2;
    for (std::size_t attempt = 0; attempt < ends_of_a_fault * nodes_of_zone; attempt++) {
        const auto node = attempt % nodes_of_zone;
        const auto answer = fleet.call(node, "POST", "/q/" + id, body);
        if (answer.status != 0 && answer.status != 502 && answer.status != 504) {
            break; // it is not sent again
        }
        sleep_ms(restart_ms);
        for (std::size_t i = 0; i < fleet.size(); i++) {
            if (fleet.has_ended_by_itself(i)) {
                ends[i]++;
                fleet.start_entry(i);
            }
        }
        sleep_ms(resend_ms - restart_ms);
    }
    int machines = 0;
    for (std::size_t i = 0; i < fleet.size(); i++) {
        record::line(fleet.at(i).name + " has ended by itself " + std::to_string(ends[i]) +
                     " times");
        machines += ends[i] >= ends_of_a_fault ? 1 : 0;
    }
    return machines >= machines_of_a_fault ? 1 : 0;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc > 1 ? argv[1] : "record.txt", play);
}
