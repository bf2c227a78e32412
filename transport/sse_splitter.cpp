#include "transport/sse_splitter.hpp"

namespace peridotspar
{

sse_splitter::batch sse_splitter::feed(std::string_view p_bytes)
{
    static constexpr std::string_view separator = "\n\n";
    static constexpr std::string_view done_marker = "data: [DONE]";
    batch complete;
    buffer_ += p_bytes;
    std::size_t start = 0;
    while (true)
    {
        const auto end = buffer_.find(separator, start);
        if (end == std::string::npos)
        {
            break;
        }
        const std::string_view event(buffer_.data() + start, end - start);
        if (event == done_marker)
        {
            complete.done_ = true;
        }
        else
        {
            complete.bytes_ += event;
            complete.bytes_ += separator;
            ++complete.events_;
        }
        start = end + separator.size();
    }
    buffer_.erase(0, start);
    return complete;
}

} // namespace peridotspar
