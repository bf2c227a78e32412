#pragma once

#include <string>
#include <string_view>

namespace peridotspar::http
{

/// Percent-encodes all bytes but ":" and the unreserved ones of RFC 3986,
/// section 2.3, so that the text stands for itself in a path segment or a query
/// parameter. Names with an IP:PORT look the same encoded and not.
[[nodiscard]] std::string percent_encode(std::string_view p_text);

/// The path and query of a request, put together from parts that are
/// percent-encoded one by one: a name from outside can't add a segment, a
/// parameter, a header or a line to the request.
class request_target
{
public:
    /// `p_path` is taken as it is. Pass a constant: it ends without a slash.
    explicit request_target(std::string_view p_path) : text_(p_path) {}

    /// Adds a segment to the path; call it before the first add_parameter().
    /// The segments "." and ".." aren't changed by the encoding, and a receiver
    /// may resolve them.
    request_target& add_segment(std::string_view p_segment);
    request_target& add_parameter(std::string_view p_name,
                                  std::string_view p_value);

    [[nodiscard]] const std::string& text() const { return text_; }

private:
    std::string text_;
    bool has_query_ = false;
};

} // namespace peridotspar::http
