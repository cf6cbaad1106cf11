// Prints problems and errors as text or JSON.
#include "core/control/report.h"

#include <nlohmann/json.hpp>

namespace savorytrail::control {

using nlohmann::json;

json to_json(const std::vector<settings::problem>& problems) {
    json list = json::array();
    for (const settings::problem& it : problems)
        list.push_back({{"file", it.file},
                        {"line", it.line},
                        {"column", it.column},
                        {"key", it.key},
                        {"message", it.message}});
    return list;
}

void print_json(const json& value, console& io) {
    // Strings from files and peers may be invalid UTF-8; the invalid bytes become U+FFFD.
    io.out << value.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
}

exit_status report_problems(const std::vector<settings::problem>& problems, console& io) {
    if (io.json)
        print_json({{"outcome", "invalid"}, {"problems", to_json(problems)}}, io);
    else
        io.err << settings::to_string(problems);
    return exit_status::bad_input;
}

exit_status report_error(exit_status status, const std::string& message, console& io) {
    if (io.json)
        print_json({{"outcome", "error"}, {"error", message}}, io);
    else
        io.err << "error: " << message << "\n";
    return status;
}

exit_status report_platform_error(const std::error_code& ec, console& io) {
    return report_error(exit_status::unreachable, "platform: " + ec.message() + "; nothing changed",
                        io);
}

} // namespace savorytrail::control
