#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotspar
{

/// Cuts a stream of server-sent events at event boundaries, so that a stream
/// that stops in the middle never leaves half an event behind.
class sse_splitter
{
public:
    /// Whole events taken from the stream so far.
    struct batch
    {
        std::string bytes_;
        std::uint32_t events_ = 0; ///< Not counting the end mark.
        bool done_ = false;        ///< The end mark `[DONE]` was seen.
    };

    /// Takes bytes in and returns the events that they complete. The end
    /// mark itself isn't among the bytes.
    [[nodiscard]] batch feed(std::string_view p_bytes);

private:
    std::string buffer_;
};

} // namespace peridotspar
