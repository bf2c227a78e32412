#include "transport/sse_splitter.hpp"

#include <utility>

namespace peridotspar
{

sse_splitter::batch sse_splitter::feed(std::string_view p_bytes)
{
    batch complete;
    while (!p_bytes.empty())
    {
        const auto piece = scanner_.next(p_bytes);
        p_bytes.remove_prefix(piece.size_);
        event_ += piece.text_;
        if (piece.event_ended_)
        {
            end_event(complete);
        }
        else if (piece.line_ended_)
        {
            event_ += '\n';
        }
    }
    return complete;
}

void sse_splitter::end_event(batch& r_complete)
{
    static constexpr std::string_view done_marker = "data: [DONE]\n";
    const std::string event = std::exchange(event_, {});
    if (event.empty())
    {
        return;
    }
    if (event == done_marker)
    {
        r_complete.done_ = true;
        return;
    }
    r_complete.bytes_ += event;
    r_complete.bytes_ += '\n';
    ++r_complete.events_;
}

} // namespace peridotspar
