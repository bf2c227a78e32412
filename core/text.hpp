#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotspar
{

/// SHA-256 of `p_text` in lower-case hexadecimal.
[[nodiscard]] std::string sha256_hex(std::string_view p_text);

/// HMAC-SHA-256 of `p_text` under `p_key`, 32 raw bytes.
[[nodiscard]] std::string hmac_sha256(std::string_view p_key,
                                      std::string_view p_text);

/// Compares without revealing by its time where the texts differ.
[[nodiscard]] bool equal_constant_time(std::string_view p_left,
                                       std::string_view p_right);

/// `p_bytes` random bytes in hexadecimal, from the system's generator.
[[nodiscard]] std::string random_hex(std::size_t p_bytes);

/// A time-ordered UUID (version 7) for the present moment.
[[nodiscard]] std::string make_uuid7();

/// Milliseconds since the Unix epoch held in a version-7 UUID; -1 if
/// `p_text` is not one.
[[nodiscard]] std::int64_t uuid7_unix_ms(std::string_view p_text);

} // namespace peridotspar
