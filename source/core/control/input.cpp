// Reads and parses a manifest file.
#include "core/control/input.h"

#include "core/settings/text.h"

namespace savorytrail::control {

manifest_file read_manifest(const std::string& path) {
    auto text = settings::read_file(path);
    if (!text)
        return {"", {}, {{path, 0, 0, "", "cannot be read: " + text.error().message()}}};
    auto parsed = manifest::parse(text.value(), path);
    if (!parsed)
        return {"", {}, std::move(parsed).error()};
    return {std::move(text).value(), std::move(parsed).value(), {}};
}

} // namespace savorytrail::control
