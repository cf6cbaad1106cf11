// Formats problems as compilers format diagnostics, so that editors can jump to the position.
#include "core/settings/problem.h"

#include "absl/strings/str_cat.h"

namespace savorytrail::settings {

std::string problem::to_string() const {
    std::string text = file;
    if (line > 0)
        absl::StrAppend(&text, ":", line, ":", column);
    if (!key.empty())
        absl::StrAppend(&text, ": ", key);
    return absl::StrCat(text, ": ", message);
}

std::string to_string(const std::vector<problem>& problems) {
    std::string text;
    for (const problem& it : problems)
        absl::StrAppend(&text, it.to_string(), "\n");
    return text;
}

} // namespace savorytrail::settings
