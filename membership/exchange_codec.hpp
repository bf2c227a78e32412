#pragma once

#include "membership/exchange_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace peridotspar
{

/// Encodes a message as a datagram. Loads are packed by column, each with as
/// many bits as the column's range needs.
[[nodiscard]] std::string encode(const exchange_message& p_message);
/// Returns nothing if the bytes aren't a message.
[[nodiscard]] std::optional<exchange_message>
decode_exchange(std::string_view p_bytes);

} // namespace peridotspar
