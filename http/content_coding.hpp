#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

/// The content coding "deflate" of HTTP: the zlib format of RFC 1950.
namespace peridotspar::http
{

inline constexpr std::string_view deflate_coding = "deflate";

/// Whether a value of `Accept-Encoding` names the coding. Weights are ignored.
[[nodiscard]] bool accepts_deflate(std::string_view p_accept_encoding);
/// Compresses a body, at the level that costs the least processor time. Throws
/// std::bad_alloc if memory is short.
[[nodiscard]] std::string deflate(std::string_view p_body);
/// Restores a compressed body. The error says that the bytes aren't valid or
/// are cut off, or that the body would be larger than `p_max_bytes`.
[[nodiscard]] tl::expected<std::string, std::string>
inflate(std::string_view p_bytes, std::size_t p_max_bytes);

} // namespace peridotspar::http
