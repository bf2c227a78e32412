#include "ingress/sse_event_buffer.hpp"

namespace peridotspar::ingress
{

namespace
{

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id:";

} // namespace

std::string sse_event_buffer::feed(std::string_view p_bytes)
{
    partial_ += p_bytes;
    const auto end = partial_.rfind(event_end);
    if (end == std::string::npos)
    {
        return {};
    }
    std::string complete = partial_.substr(0, end + event_end.size());
    partial_.erase(0, complete.size());
    update_last_event_id(complete);
    return complete;
}

void sse_event_buffer::update_last_event_id(std::string_view p_events)
{
    while (!p_events.empty())
    {
        const auto end = p_events.find('\n');
        std::string_view line = p_events.substr(0, end);
        if (line.starts_with(id_field))
        {
            line.remove_prefix(id_field.size());
            const auto first = line.find_first_not_of(' ');
            last_event_id_ = first == std::string_view::npos
                                 ? std::string()
                                 : std::string(line.substr(first));
        }
        p_events = end == std::string_view::npos ? std::string_view{}
                                                 : p_events.substr(end + 1);
    }
}

} // namespace peridotspar::ingress
