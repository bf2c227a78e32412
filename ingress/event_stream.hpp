#pragma once

#include <string>
#include <string_view>

namespace peridotspar::ingress
{

/// Cuts the bytes of a stream of events into whole events and remembers the
/// last one's id.
class event_stream
{
public:
    /// Adds bytes and returns the events that are whole now.
    [[nodiscard]] std::string take(std::string_view p_bytes);
    /// Forgets a part of an event, as another run goes on.
    void drop_partial() { partial_.clear(); }
    [[nodiscard]] bool has_partial() const { return !partial_.empty(); }
    /// Empty while no event had one.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }

private:
    void note_id(std::string_view p_events);

    std::string partial_;
    std::string last_id_;
};

} // namespace peridotspar::ingress
