#pragma once

#include <string>
#include <string_view>

namespace peridotspar::ingress
{

/// Splits a stream of server-sent events at event boundaries and tracks the id
/// of the last complete event. Not thread-safe.
class sse_event_buffer
{
public:
    /// Appends received bytes. Returns the events that are now complete, with
    /// their blank lines; empty if there is none.
    [[nodiscard]] std::string feed(std::string_view p_bytes);
    /// Discards an incomplete event, before another server resumes the stream.
    void drop_partial() { partial_.clear(); }
    [[nodiscard]] bool has_partial() const { return !partial_.empty(); }
    /// The value of the last `id` field; empty if no event had one.
    [[nodiscard]] const std::string& last_event_id() const
    {
        return last_event_id_;
    }

private:
    void update_last_event_id(std::string_view p_events);

    std::string partial_;
    std::string last_event_id_;
};

} // namespace peridotspar::ingress
