#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotspar
{

/// SHA-256 of `p_text` in lower-case hexadecimal.
[[nodiscard]] std::string sha256_hex(std::string_view p_text);

/// Returns a number as 16 hexadecimal digits.
[[nodiscard]] std::string to_hex(std::uint64_t p_number);

/// HMAC-SHA-256 of `p_text` with the key `p_key`, as 32 raw bytes.
[[nodiscard]] std::string hmac_sha256(std::string_view p_key,
                                      std::string_view p_text);

/// Compares two texts in constant time for texts of equal length, so that the
/// duration does not reveal where they differ.
[[nodiscard]] bool equal_constant_time(std::string_view p_left,
                                       std::string_view p_right);

/// Returns `p_bytes` cryptographically secure random bytes in hexadecimal.
[[nodiscard]] std::string random_hex(std::size_t p_bytes);

/// Creates a time-ordered UUID (version 7) with the current time.
[[nodiscard]] std::string make_uuid7();

/// Returns the time of a version-7 UUID in milliseconds since the Unix epoch,
/// or -1 if `p_text` is not one.
[[nodiscard]] std::int64_t uuid7_unix_ms(std::string_view p_text);

} // namespace peridotspar
