#include "ingress/sse_event_buffer.hpp"

#include <algorithm>
#include <utility>

namespace peridotspar::ingress
{

namespace
{

constexpr char cr = '\r';
constexpr char lf = '\n';
constexpr std::string_view line_end_bytes = "\r\n";
constexpr std::string_view id_field = "id:";

} // namespace

std::string sse_event_buffer::feed(std::string_view p_bytes)
{
    std::size_t next = kept_.size();
    std::size_t passable = 0; // Bytes of `kept_` that can be passed on.
    kept_ += p_bytes;
    while (next < kept_.size())
    {
        const bool completes_line_end = after_cr_ && kept_[next] == lf;
        after_cr_ = false;
        if (completes_line_end)
        {
            ++next;
            passable = in_event_ ? passable : next;
            continue;
        }
        const auto end =
            std::min(kept_.find_first_of(line_end_bytes, next), kept_.size());
        append_to_line(std::string_view(kept_).substr(next, end - next));
        next = end;
        if (end == kept_.size())
        {
            break;
        }
        after_cr_ = kept_[next++] == cr;
        if (end_line())
        {
            passable = next;
        }
    }
    if (in_event_ &&
        (partial_passed_ || kept_.size() - passable > max_kept_bytes))
    {
        partial_passed_ = true;
        passable = kept_.size();
    }
    std::string passed = kept_.substr(0, passable);
    kept_.erase(0, passable);
    return passed;
}

void sse_event_buffer::drop_partial()
{
    kept_.clear();
    line_.clear();
    line_is_cut_ = false;
    after_cr_ = false;
    in_event_ = false;
    event_id_.reset();
}

void sse_event_buffer::append_to_line(std::string_view p_bytes)
{
    const std::size_t count =
        std::min(p_bytes.size(), max_kept_bytes - line_.size());
    line_ += p_bytes.substr(0, count);
    line_is_cut_ = line_is_cut_ || count < p_bytes.size();
    in_event_ = in_event_ || !p_bytes.empty();
}

bool sse_event_buffer::end_line()
{
    if (line_.empty())
    {
        end_event();
        return true;
    }
    if (line_.starts_with(id_field))
    {
        const auto first = line_.find_first_not_of(' ', id_field.size());
        const bool has_value = first != std::string::npos && !line_is_cut_;
        event_id_ = has_value ? line_.substr(first) : std::string();
    }
    line_.clear();
    line_is_cut_ = false;
    return false;
}

void sse_event_buffer::end_event()
{
    if (event_id_)
    {
        last_event_id_ = *std::exchange(event_id_, std::nullopt);
    }
    in_event_ = false;
    partial_passed_ = false;
}

} // namespace peridotspar::ingress
