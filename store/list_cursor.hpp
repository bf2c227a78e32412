#pragma once

#include "core/clock.hpp"
#include "store/object_types.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspar
{

/// Follows the pages of a list of objects: decides by which name it goes on and
/// when it ends. Names may come from any writer, and the store may misread one,
/// so a list ends here for sure, if need be without some of its objects. Those
/// are recorded as gaps: the list says nothing about a name in a gap. Assumes
/// that the store orders names bytewise. Not thread-safe.
class list_cursor
{
public:
    /// Why no further page is asked for.
    enum class end : std::uint8_t
    {
        none, ///< Another page is due.
        complete,
        no_name,       ///< The page has no name to go on by.
        not_advancing, ///< The same page comes again, and can't be skipped.
        too_long,      ///< The time for a list is over.
        too_large,     ///< See `stop_as_too_large()`.
    };

    /// `p_max_time`: from the first page to the last.
    explicit list_cursor(duration p_max_time) : max_time_(p_max_time) {}

    /// Starts a new list.
    void restart(time_point p_now);
    /// The name after which the next page begins; empty for the first one.
    [[nodiscard]] const std::string& after() const { return after_; }
    /// Takes a page. Returns `none` if another is due.
    end add(const object_page& p_page, time_point p_now);
    /// Ends the list after the last page added: it has more than its reader can
    /// hold.
    end stop_as_too_large();
    [[nodiscard]] const std::vector<name_gap>& gaps() const { return gaps_; }
    [[nodiscard]] unsigned pages() const { return pages_; }

private:
    /// Goes on behind a name that isn't fit for a request or that the store
    /// misreads.
    end skip(const std::string& p_name);
    /// Ends the list; what comes after `after()` isn't known.
    end stop(end p_reason);

    duration max_time_;
    time_point deadline_{};
    std::string after_;
    std::set<std::string, std::less<>> last_names_; ///< Of the pages so far.
    std::vector<name_gap> gaps_;
    bool skipped_ = false; ///< The last page was asked for by skip().
    unsigned pages_ = 0;
};

[[nodiscard]] std::string_view to_string(list_cursor::end p_end);

/// The least text that comes after `p_name` bytewise, is short and consists of
/// characters that need no encoding in a request; empty if there is none.
[[nodiscard]] std::string plain_successor(std::string_view p_name);

} // namespace peridotspar
