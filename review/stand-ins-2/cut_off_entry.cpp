// Case 8: an entry is cut off from the others while it runs a job. The job is cancelled at another
// entry, which acknowledges it.
#include "platform.h"

using namespace review;

namespace {

constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t cancel_ms = 3000;

int play() {
    deployment fleet({"zilina", "banska", "martin"}, 2, 4, true);
    fleet.configure(2, {{"r-confirm", "/q/"}});
    for (std::size_t i = 0; i < fleet.size(); i++) {
        fleet.start_entry(i);
        sleep_ms(20);
    }
    if (!fleet.wait_until_serving("/q/", {0, 1, 2, 3, 4, 5})) {
        return 2;
    }
    const auto id = deployment::next_id();
    const auto body = deployment::job(std::vector<deployment::step>(30, {2, 27000, 400}));
    reply outcome;
    std::thread client([&] { outcome = fleet.call(0, "POST", "/q/" + id, body, 20000); });
    sleep_ms(300);
    if (has_trouble()) {
        fleet.cut_off(0, true);
    }
    sleep_ms(2500);
    const auto cancel = fleet.call(1, "DELETE", "/q/" + id);
    const auto acknowledged = now_ms();
    sleep_ms(500);
    if (has_trouble()) {
        fleet.cut_off(0, false);
    }
    const auto healed = now_ms();
    client.join();
    if (cancel.status / 100 != 2 && cancel.status != 410) {
        return 0;
    }
    int late = 0;
    for (const auto& it : fleet.starts().of(id)) {
        late += it.at > acknowledged + cancel_ms && it.at > healed + contact_ms ? 1 : 0;
    }
    record::line("starts of the job's tasks later than cancel_ms after the acknowledgement, by a "
                 "machine in touch: " + std::to_string(late));
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc > 1 ? argv[1] : "record.txt", play);
}
