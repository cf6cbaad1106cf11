// JSON messages of the platform's HTTP interface. The functions return error::malformed for values
// that cannot be parsed or serialized.
#pragma once

#include <string>
#include <vector>

#include "core/platform/platform.h"

namespace savorytrail::platform {

common::result<std::string> write_operations(const std::vector<operation>& operations);

common::result<row> read_row(const std::string& body);
common::result<std::vector<row>> read_rows(const std::string& body);
common::result<committed> read_committed(const std::string& body);
common::result<conflicts> read_conflicts(const std::string& body);
common::result<vm_changes> read_vm_changes(const std::string& body);

} // namespace savorytrail::platform
