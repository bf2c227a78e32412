#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace peridotspar::http
{

/// Finds the lines and events of a stream of server-sent events, in any
/// division into parts. A line ends with LF, CR or CR LF, and an event with an
/// empty line. Keeps no bytes. Not thread-safe.
class event_stream_scanner
{
public:
    /// What the next bytes of the stream are.
    struct piece
    {
        std::size_t size_ = 0;  ///< Bytes, with the line end.
        std::string_view text_; ///< Of a line, without the line end.
        /// The piece is the LF of a CR LF whose CR ended the line before.
        bool completes_line_end_ = false;
        bool line_ended_ = false;
        bool event_ended_ = false;
    };

    /// Takes the bytes up to the next line end, or all. `p_bytes` must not be
    /// empty and must follow the piece before.
    piece next(std::string_view p_bytes);
    /// Takes all of `p_bytes`.
    void skip(std::string_view p_bytes);
    /// Forgets an incomplete event, because what follows is another stream.
    void drop_partial();

    /// Complete events so far, without empty ones.
    [[nodiscard]] std::uint64_t events() const { return events_; }
    /// Whether the bytes so far end within an event.
    [[nodiscard]] bool in_event() const { return in_event_; }
    /// Whether the bytes so far end within an event or within its final line
    /// end, which is recognized by the line ends before it.
    [[nodiscard]] bool is_broken_off() const
    {
        return in_event_ || (after_cr_ && uses_cr_lf_);
    }

private:
    std::uint64_t events_ = 0;
    bool in_event_ = false;  ///< Bytes of the current event were received.
    bool line_empty_ = true; ///< The current line has no bytes yet.
    bool after_cr_ = false;  ///< A CR was the last byte.
    bool uses_cr_lf_ = false;
};

} // namespace peridotspar::http
