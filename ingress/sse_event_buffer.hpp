#pragma once

#include "http/event_stream_scanner.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace peridotspar::ingress
{

/// Splits a stream of server-sent events at event boundaries and tracks the id
/// of the last complete event. Bytes are passed on unchanged. Not thread-safe.
class sse_event_buffer
{
public:
    /// Bytes of an incomplete event that are kept back, besides those of one
    /// call of `feed`. This bounds the memory of a stream. An event beyond the
    /// limit is passed on as it arrives; until it ends, the stream can't be
    /// resumed.
    static constexpr std::size_t max_kept_bytes = 1U << 20U;

    /// Appends received bytes. Returns the bytes that can be passed on: the
    /// events that are now complete, with their empty lines, and parts of an
    /// event beyond `max_kept_bytes`. Empty if there are none.
    [[nodiscard]] std::string feed(std::string_view p_bytes);
    /// Discards an incomplete event, before another server resumes the stream.
    /// From now on an event's id must be later than the one before, and an
    /// event without one must hold nothing else than an event's fields.
    void drop_partial();
    /// Whether the last call of `feed` met an event that doesn't follow the one
    /// before. It and what came after it weren't passed on.
    [[nodiscard]] bool is_out_of_order() const { return out_of_order_; }
    /// Returns and removes the bytes of an incomplete event, at the end of a
    /// complete response.
    [[nodiscard]] std::string take_partial()
    {
        return std::exchange(kept_, {});
    }
    /// Received bytes that weren't passed on, and those of the current line.
    [[nodiscard]] std::size_t kept_bytes() const
    {
        return kept_.size() + line_.size();
    }
    /// The value of the last `id` field of the complete events; empty if there
    /// is none, or if it was longer than `max_kept_bytes`.
    [[nodiscard]] const std::string& last_event_id() const
    {
        return last_event_id_;
    }
    /// Whether another server can resume the stream: there is an id to resume
    /// after, and no incomplete event was passed on.
    [[nodiscard]] bool is_resumable() const
    {
        return !last_event_id_.empty() && !partial_passed_;
    }

private:
    void append_to_line(std::string_view p_bytes);
    void end_line(bool p_ends_event);
    void end_event();
    [[nodiscard]] bool follows_last(const std::string& p_id) const;

    http::event_stream_scanner scanner_;
    std::string kept_;            ///< Received bytes that weren't passed on.
    std::string line_;            ///< The current line, up to `max_kept_bytes`.
    bool line_is_cut_ = false;    ///< The line is longer than `line_`.
    bool partial_passed_ = false; ///< Part of the incomplete event.
    bool is_resumed_ = false;     ///< Another server goes on with it.
    bool has_other_text_ = false; ///< The incomplete event.
    bool out_of_order_ = false;
    std::optional<std::string> event_id_; ///< Of the incomplete event.
    std::string last_event_id_;
};

} // namespace peridotspar::ingress
