// Measures how long a configuration takes to be decoded and put in force, and a look-up in it, by
// the number of routes. Prints one line per number.
#include <chrono>
#include <cstdio>

#include "core/common/clock.h"
#include "core/route/route_table.h"
#include "platform/host_codec.h"
#include "platform/rows_codec.h"

namespace {

using namespace savorytrail;

route::configuration make_configuration(int routes) {
    route::configuration it;
    it.version = 1;
    for (int i = 0; i < routes; i++) {
        route::route route;
        route.host = "host" + std::to_string(i % 8) + ".example";
        route.prefix = "/queue" + std::to_string(i) + "/";
        route.queue.name = "queue" + std::to_string(i);
        route.queue.upstream = "upstream";
        it.routes.push_back(route);
    }
    return it;
}

void measure(const common::clock& clock, int routes) {
    constexpr int lookups = 1'000'000;
    const auto text = platform_adapter::encode_configuration(make_configuration(routes));
    const auto started = clock.now();
    auto decoded = platform_adapter::decode_configuration(text);
    route::route_table table;
    const bool is_adopted =
        decoded && !route::find_defect(*decoded) && table.adopt(std::move(*decoded));
    const auto adopted = clock.now();
    std::size_t found = 0;
    for (int i = 0; i < lookups; i++) {
        const int n = i % routes;
        const auto host = "host" + std::to_string(n % 8) + ".example";
        found += table.find(host, "/queue" + std::to_string(n) + "/0123456789abcdef") ? 1 : 0;
    }
    const auto ended = clock.now();
    std::printf("%5d routes, %7zu bytes: in force after %6.2f ms, %4.0f ns a look-up, %s\n", routes,
                text.size(), std::chrono::duration<double, std::milli>(adopted - started).count(),
                std::chrono::duration<double, std::nano>(ended - adopted).count() / lookups,
                is_adopted && found == lookups ? "all found" : "WRONG");
}

} // namespace

int main() {
    const common::system_clock clock;
    for (const int routes : {25, 100, 1400, 5000}) {
        measure(clock, routes);
    }
    return 0;
}
