// Limits that both ends of a call between entries agree on.
#pragma once

namespace savorytrail::peer {

constexpr int max_message_bytes = 80 << 20;

} // namespace savorytrail::peer
