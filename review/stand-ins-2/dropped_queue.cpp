// Case 9: a job runs, the operator drops its queue, and the client cancels the job.
#include "platform.h"

using namespace review;

namespace {

constexpr std::int64_t ack_ms = 4000; // ackMs
constexpr std::int64_t cancel_ms = 3000;
constexpr std::int64_t contact_ms = 3000; // contactMs, longer than configMs

int play() {
    deployment fleet({"zilina", "banska", "martin"}, 2, 4);
    fleet.configure(2, {{"r-confirm", "/q/"}, {"r-ping", "/p/"}});
    for (std::size_t i = 0; i < fleet.size(); i++) {
        fleet.start_entry(i);
    }
    if (!fleet.wait_until_serving("/q/", {0, 1, 2, 3, 4, 5})) {
        return 2;
    }
    const auto id = deployment::next_id();
    const auto body = deployment::job(std::vector<deployment::step>(38, {2, 27000, 400}));
    reply outcome;
    std::thread client([&] { outcome = fleet.call(0, "POST", "/q/" + id, body, 20000); });
    sleep_ms(300);
    if (has_trouble()) {
        fleet.configure(3, {{"r-ping", "/p/"}});
        sleep_ms(contact_ms + 200);
    }
    const auto asked = now_ms();
    std::int64_t acknowledged = -1;
    while (acknowledged < 0 && now_ms() < asked + ack_ms + cancel_ms) {
        for (std::size_t i = 0; i < 2 && acknowledged < 0; i++) {
            const auto it = fleet.call(i, "DELETE", "/q/" + id);
            acknowledged = it.status / 100 == 2 || it.status == 410 ? now_ms() : -1;
        }
        sleep_ms(500);
    }
    const auto counted_from = acknowledged < 0 ? asked + ack_ms : acknowledged;
    client.join();
    int late = 0;
    for (const auto& it : fleet.starts().of(id)) {
        late += it.at > counted_from + cancel_ms ? 1 : 0;
    }
    record::line("acknowledged: " + std::string(acknowledged < 0 ? "no" : "yes") +
                 "; starts of the job's tasks later than cancel_ms after that, or after ackMs: " +
                 std::to_string(late));
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc > 1 ? argv[1] : "record.txt", play);
}
