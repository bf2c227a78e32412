#include "store/list_cursor.hpp"

#include "http/request_target.hpp"

#include <algorithm>

namespace peridotspar
{

namespace
{

/// The unreserved characters of RFC 3986, in bytewise order.
constexpr std::string_view plain_characters =
    "-.0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ_abcdefghijklmnopqrstuvwxyz~";
constexpr std::size_t max_plain_prefix_bytes = 64;
/// A request line with a longer name may exceed the store's limit.
constexpr std::size_t max_encoded_name_bytes = 1024;

/// The least plain character after `p_character`; null if there is none.
const char* next_plain(char p_character)
{
    const auto* next =
        std::find_if(plain_characters.begin(), plain_characters.end(),
                     [p_character](char p_each)
                     {
                         return static_cast<unsigned char>(p_each) >
                                static_cast<unsigned char>(p_character);
                     });
    return next == plain_characters.end() ? nullptr : next;
}

} // namespace

std::string plain_successor(std::string_view p_name)
{
    const std::size_t plain_bytes =
        std::min({p_name.find_first_not_of(plain_characters), p_name.size(),
                  max_plain_prefix_bytes});
    if (plain_bytes == p_name.size())
    {
        return std::string(p_name) + plain_characters.front();
    }
    // The first character that is replaced by a later one.
    for (std::size_t at = plain_bytes + 1; at-- > 0;)
    {
        if (const char* next = next_plain(p_name[at]))
        {
            return std::string(p_name.substr(0, at)) + *next;
        }
    }
    return {};
}

void list_cursor::restart(time_point p_now)
{
    deadline_ = p_now + max_time_;
    after_.clear();
    last_names_.clear();
    gaps_.clear();
    skipped_ = false;
    pages_ = 0;
}

list_cursor::end list_cursor::add(const object_page& p_page, time_point p_now)
{
    ++pages_;
    if (!p_page.has_more_)
    {
        return end::complete;
    }
    if (!p_page.last_name_)
    {
        return stop(end::no_name);
    }
    const std::string& last = *p_page.last_name_;
    const bool is_new = last_names_.insert(last).second;
    if (!is_new && skipped_)
    {
        return stop(end::not_advancing);
    }
    if (p_now >= deadline_)
    {
        after_ = std::max(after_, last);
        return stop(end::too_long);
    }
    const bool is_fit =
        last.size() <= max_encoded_name_bytes &&
        http::percent_encode(last).size() <= max_encoded_name_bytes;
    if (!is_new || !is_fit)
    {
        return skip(last);
    }
    skipped_ = false;
    after_ = last;
    return end::none;
}

list_cursor::end list_cursor::stop_as_too_large()
{
    return stop(end::too_large);
}

list_cursor::end list_cursor::skip(const std::string& p_name)
{
    skipped_ = true;
    std::string next = plain_successor(p_name);
    if (next.empty())
    {
        after_ = p_name;
        return stop(end::not_advancing);
    }
    gaps_.push_back({p_name, next});
    after_ = std::move(next);
    return end::none;
}

list_cursor::end list_cursor::stop(end p_reason)
{
    gaps_.push_back({after_, std::nullopt});
    return p_reason;
}

std::string_view to_string(list_cursor::end p_end)
{
    switch (p_end)
    {
    case list_cursor::end::none:
        return "none";
    case list_cursor::end::complete:
        return "complete";
    case list_cursor::end::no_name:
        return "no_name";
    case list_cursor::end::not_advancing:
        return "not_advancing";
    case list_cursor::end::too_long:
        return "too_long";
    case list_cursor::end::too_large:
        return "too_large";
    }
    return "unknown";
}

} // namespace peridotspar
