#include "transport/sse_splitter.hpp"

namespace peridotspar
{

sse_splitter::batch sse_splitter::feed(std::string_view p_bytes)
{
    static constexpr std::string_view separator = "\n\n";
    static constexpr std::string_view end_mark = "data: [DONE]";
    batch taken;
    rest_ += p_bytes;
    std::size_t start = 0;
    while (true)
    {
        const auto end = rest_.find(separator, start);
        if (end == std::string::npos)
        {
            break;
        }
        const std::string_view event(rest_.data() + start, end - start);
        if (event == end_mark)
        {
            taken.done_ = true;
        }
        else
        {
            taken.bytes_ += event;
            taken.bytes_ += separator;
            ++taken.events_;
        }
        start = end + separator.size();
    }
    rest_.erase(0, start);
    return taken;
}

} // namespace peridotspar
