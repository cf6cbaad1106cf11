// Prints a schema message as commented TOML that loads to the same values.
#pragma once

#include <string>

namespace google::protobuf {
class Message;
}

namespace savorytrail::settings {

std::string print(const google::protobuf::Message& message);

} // namespace savorytrail::settings
