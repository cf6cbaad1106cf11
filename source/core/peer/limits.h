// Limits shared by the client and the server of calls between entries.
#pragma once

namespace savorytrail::peer {

constexpr int max_message_bytes = 80 << 20;

} // namespace savorytrail::peer
