// TOML files of a cluster.
#include "stand_ins/cluster/plan.h"

#include <sstream>

namespace savorytrail::stand_ins {
namespace {

std::string quoted(const std::string& text) {
    return "\"" + text + "\"";
}

} // namespace

std::string settings_text(const entry_identity& entry,
                          const std::map<std::string, std::string>& settings) {
    std::map<std::string, std::map<std::string, std::string>> sections;
    sections["node"]["name"] = quoted(entry.name);
    sections["node"]["failure_domain"] = quoted(entry.failure_domain);
    sections["node"]["region"] = quoted(entry.region);
    sections["callers"]["listen"] = quoted(entry.callers.to_string());
    sections["peers"]["listen"] = quoted(entry.peers.to_string());
    sections["platform"]["url"] = quoted("http://" + entry.platform.to_string());
    for (const auto& [name, value] : settings) {
        const auto dot = name.find('.');
        sections[name.substr(0, dot)][name.substr(dot + 1)] = value;
    }

    std::ostringstream text;
    for (const auto& [section, values] : sections) {
        text << "[" << section << "]\n";
        for (const auto& [key, value] : values)
            text << key << " = " << value << "\n";
    }
    return text.str();
}

std::string manifest_text(const manifest_options& options,
                          const std::vector<executor_identity>& executors) {
    std::ostringstream text;
    text << "[[teams]]\nname = " << quoted(options.team) << "\n" << options.team_lines << "\n";
    text << "[[upstreams]]\nname = " << quoted(options.upstream) << "\n"
         << options.upstream_lines << "\n";
    for (const auto& it : executors) {
        text << "[[upstreams.executors]]\n"
             << "name = " << quoted(it.name) << "\n"
             << "failure_domain = " << quoted(it.failure_domain) << "\n"
             << "address = " << quoted(it.published.to_string()) << "\n"
             << "slots = " << options.slots << "\n"
             << "connections = " << options.connections << "\n";
    }
    return text.str();
}

} // namespace savorytrail::stand_ins
