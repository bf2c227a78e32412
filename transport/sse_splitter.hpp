#pragma once

#include "http/event_stream_scanner.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace peridotspar
{

/// Splits a stream of server-sent events at event boundaries, so that only
/// whole events are passed on even if the stream breaks in the middle of one.
/// Lines end with LF in its output, whatever they end with in the stream.
class sse_splitter
{
public:
    /// Whole events, as returned by one call.
    struct batch
    {
        std::string bytes_;
        std::uint32_t events_ = 0; ///< Without the end marker.
        bool done_ = false;        ///< The end marker `[DONE]` was received.
    };

    /// A longer event isn't one: its server is broken.
    static constexpr std::size_t max_event_bytes = 1U << 20U;
    /// Whether the incomplete event is longer than that.
    [[nodiscard]] bool is_too_long() const
    {
        return event_.size() > max_event_bytes;
    }
    /// Adds received bytes and returns the events that they complete, without
    /// the end marker.
    [[nodiscard]] batch feed(std::string_view p_bytes);

private:
    void end_event(batch& r_complete);

    http::event_stream_scanner scanner_;
    std::string event_; ///< The lines of the incomplete event at the end.
};

} // namespace peridotspar
