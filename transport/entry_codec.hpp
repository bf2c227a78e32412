#pragma once

#include "transport/gen/entry_peer_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace peridotspar
{

/// Encode messages between entry nodes in Thrift's compact protocol.
[[nodiscard]] std::string encode(const entry_wire::digest& p_digest);
[[nodiscard]] std::string encode(const entry_wire::beliefs& p_beliefs);
/// Decode such messages; nothing if the bytes are malformed.
[[nodiscard]] std::optional<entry_wire::digest>
decode_digest(std::string_view p_bytes);
[[nodiscard]] std::optional<entry_wire::beliefs>
decode_beliefs(std::string_view p_bytes);

} // namespace peridotspar
