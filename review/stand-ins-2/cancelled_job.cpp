// Case 7: a job is cancelled, and the cancelling is acknowledged. One entry process is killed and
// starts again. The request that submitted the job arrives once more, there, seconds later.
#include "platform.h"

using namespace review;

namespace {

constexpr std::int64_t contact_ms = 3000; // contactMs: then the machine is in touch again
constexpr std::int64_t cancel_ms = 3000;
constexpr std::int64_t slack_ms = 700;

int play() {
    deployment fleet({"zilina", "banska", "martin"}, 2, 4);
    fleet.configure(2, {{"r-confirm", "/q/"}});
    for (std::size_t i = 0; i < fleet.size(); i++) {
        fleet.start_entry(i);
    }
    if (!fleet.wait_until_serving("/q/", {0, 1, 2, 3, 4, 5})) {
        return 2;
    }
    const std::size_t holder = 0; // front-zilina-1
    const std::size_t other = 1;  // front-zilina-2
    const auto id = deployment::next_id();
    const auto body = deployment::job({{4, 27000, 900}});
    reply first;
    std::thread client([&] { first = fleet.call(holder, "POST", "/q/" + id, body); });
    sleep_ms(300);
    const auto cancel = fleet.call(holder, "DELETE", "/q/" + id);
    const auto acknowledged = now_ms();
    client.join();
    if (cancel.status != 200 && cancel.status != 410) {
        return 2;
    }
    if (has_trouble()) {
        fleet.kill_entry(other, SIGKILL);
        sleep_ms(100);
        fleet.start_entry(other);
    }
    const auto in_touch = (has_trouble() ? fleet.at(other).started_at : acknowledged) + contact_ms;
    sleep_ms(std::max(in_touch, acknowledged + cancel_ms) + slack_ms - now_ms());
    record::line("the same request arrives again, " + std::to_string(now_ms() - acknowledged) +
                 " ms after the cancelling was acknowledged");
    fleet.call(other, "POST", "/q/" + id, body);
    int late = 0;
    for (const auto& it : fleet.starts().of(id)) {
        late += it.at > acknowledged + cancel_ms ? 1 : 0;
    }
    record::line("starts of the job's tasks later than cancel_ms after the acknowledgement: " +
                 std::to_string(late));
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc > 1 ? argv[1] : "record.txt", play);
}
