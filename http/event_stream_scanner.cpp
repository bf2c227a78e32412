#include "http/event_stream_scanner.hpp"

#include <algorithm>

namespace peridotspar::http
{

namespace
{

constexpr char cr = '\r';
constexpr char lf = '\n';
constexpr std::string_view line_end_bytes = "\r\n";

} // namespace

event_stream_scanner::piece event_stream_scanner::next(std::string_view p_bytes)
{
    piece found;
    if (after_cr_ && p_bytes.front() == lf)
    {
        after_cr_ = false;
        uses_cr_lf_ = true;
        found.size_ = 1;
        found.completes_line_end_ = true;
        return found;
    }
    const auto end =
        std::min(p_bytes.find_first_of(line_end_bytes), p_bytes.size());
    found.text_ = p_bytes.substr(0, end);
    found.size_ = end;
    after_cr_ = false;
    line_empty_ = line_empty_ && found.text_.empty();
    in_event_ = in_event_ || !line_empty_;
    if (end == p_bytes.size())
    {
        return found;
    }
    ++found.size_;
    after_cr_ = p_bytes[end] == cr;
    found.line_ended_ = true;
    found.event_ended_ = line_empty_;
    if (found.event_ended_ && in_event_)
    {
        ++events_;
        in_event_ = false;
    }
    line_empty_ = true;
    return found;
}

void event_stream_scanner::skip(std::string_view p_bytes)
{
    while (!p_bytes.empty())
    {
        p_bytes.remove_prefix(next(p_bytes).size_);
    }
}

void event_stream_scanner::drop_partial()
{
    in_event_ = false;
    line_empty_ = true;
    after_cr_ = false;
}

} // namespace peridotspar::http
