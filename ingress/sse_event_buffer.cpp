#include "ingress/sse_event_buffer.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <utility>

namespace peridotspar::ingress
{

namespace
{

constexpr std::string_view id_field = "id:";

/// Whether a line has one of the fields of events, or is a comment.
bool is_event_field(std::string_view p_line)
{
    constexpr std::array<std::string_view, 5> fields{
        id_field, "data:", "event:", "retry:", ":"};
    return std::any_of(fields.begin(), fields.end(),
                       [p_line](std::string_view p_field)
                       { return p_line.starts_with(p_field); });
}

} // namespace

std::string sse_event_buffer::feed(std::string_view p_bytes)
{
    std::size_t next = kept_.size();
    std::size_t passable = 0; // Bytes of `kept_` that can be passed on.
    kept_ += p_bytes;
    while (next < kept_.size())
    {
        const auto piece = scanner_.next(std::string_view(kept_).substr(next));
        next += piece.size_;
        append_to_line(piece.text_);
        if (piece.line_ended_)
        {
            end_line(piece.event_ended_);
        }
        if (out_of_order_)
        {
            kept_.resize(passable);
            return std::exchange(kept_, {});
        }
        const bool is_boundary = piece.completes_line_end_
                                     ? !scanner_.in_event()
                                     : piece.event_ended_;
        passable = is_boundary ? next : passable;
    }
    if (scanner_.in_event() &&
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
    scanner_.drop_partial();
    kept_.clear();
    line_.clear();
    line_is_cut_ = false;
    event_id_.reset();
    has_other_text_ = false;
    is_resumed_ = !last_event_id_.empty();
    out_of_order_ = false;
}

bool sse_event_buffer::follows_last(const std::string& p_id) const
{
    const auto number = [](const std::string& p_text)
    {
        std::uint64_t value = 0;
        const char* end = p_text.data() + p_text.size();
        const auto [stop, error] = std::from_chars(p_text.data(), end, value);
        return error == std::errc{} && stop == end ? std::optional(value)
                                                   : std::nullopt;
    };
    const auto id = number(p_id);
    const auto last = number(last_event_id_);
    return id && last ? *id > *last : !p_id.empty() && p_id != last_event_id_;
}

void sse_event_buffer::append_to_line(std::string_view p_bytes)
{
    const std::size_t count =
        std::min(p_bytes.size(), max_kept_bytes - line_.size());
    line_ += p_bytes.substr(0, count);
    line_is_cut_ = line_is_cut_ || count < p_bytes.size();
}

void sse_event_buffer::end_line(bool p_ends_event)
{
    if (p_ends_event)
    {
        end_event();
        return;
    }
    if (line_.starts_with(id_field))
    {
        const auto first = line_.find_first_not_of(' ', id_field.size());
        const bool has_value = first != std::string::npos && !line_is_cut_;
        event_id_ = has_value ? line_.substr(first) : std::string();
    }
    has_other_text_ |= !is_event_field(line_);
    line_.clear();
    line_is_cut_ = false;
}

void sse_event_buffer::end_event()
{
    const bool follows =
        event_id_ ? follows_last(*event_id_) : !has_other_text_;
    has_other_text_ = false;
    if (is_resumed_ && !follows)
    {
        out_of_order_ = true;
        return;
    }
    if (event_id_)
    {
        last_event_id_ = *std::exchange(event_id_, std::nullopt);
    }
    partial_passed_ = false;
}

} // namespace peridotspar::ingress
