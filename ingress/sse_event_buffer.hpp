#pragma once

#include <string>
#include <string_view>

namespace peridotspar::ingress
{

/// Cuts the bytes of a stream of events into whole events and remembers the
/// last one's id.
class sse_event_buffer
{
public:
    /// Adds bytes and returns the events that are whole now.
    [[nodiscard]] std::string feed(std::string_view p_bytes);
    /// Forgets a part of an event, as another run goes on.
    void drop_partial() { partial_.clear(); }
    [[nodiscard]] bool has_partial() const { return !partial_.empty(); }
    /// Empty while no event had one.
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
