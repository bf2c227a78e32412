#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspar
{

constexpr unsigned revision_bits = 44;
constexpr std::uint64_t max_revision = (std::uint64_t{1} << revision_bits) - 1;

/// An object of a store that identifies objects by kind and name.
struct object_record
{
    std::string name_;
    std::uint64_t revision_ = 0; ///< Store revision of its last change.
    bool deleting_ = false;      ///< Its deletion was requested.
    std::string document_;       ///< Content as its writer stored it.
};

/// Orders revisions over the eras of a store: after it came back from an older
/// copy, its revisions are lower and are given out again.
[[nodiscard]] constexpr std::uint64_t revision_in_era(std::uint64_t p_era,
                                                      std::uint64_t p_revision)
{
    // Both fit: eras are few, and 2^44 revisions last for centuries.
    return (p_era << revision_bits) | (p_revision & max_revision);
}
[[nodiscard]] constexpr std::uint64_t era_of(std::uint64_t p_revision_in_era)
{
    return p_revision_in_era >> revision_bits;
}

/// Names about which a list says nothing.
struct name_gap
{
    std::string after_;               ///< The gap begins after this name.
    std::optional<std::string> upto_; ///< Inclusive; without an end if empty.

    [[nodiscard]] bool contains(std::string_view p_name) const
    {
        return p_name > after_ && (!upto_ || p_name <= *upto_);
    }
};

/// One page of the list of all objects of a kind.
struct object_page
{
    std::vector<object_record> objects_; ///< Those that can be read.
    bool has_more_ = false;              ///< Whether further pages follow.
    std::uint64_t revision_ = 0; ///< Of the store at the time of its response.
    /// The last name on the page that can be read, also of an object that
    /// can't.
    std::optional<std::string> last_name_;
};

/// The objects of a kind, from all pages of a list.
struct object_list
{
    std::vector<object_record> objects_;
    std::uint64_t revision_ = 0; ///< Of the first page.
    std::vector<name_gap> gaps_; ///< Empty if the list is whole.

    /// Whether an object of that name that isn't in the list doesn't exist.
    [[nodiscard]] bool covers(std::string_view p_name) const
    {
        return std::none_of(gaps_.begin(), gaps_.end(),
                            [p_name](const name_gap& p_gap)
                            { return p_gap.contains(p_name); });
    }
};

/// The change or removal of one object.
struct object_change
{
    object_record object_;
    bool removed_ = false;
};

/// The changes since the revision that a watch request named.
struct object_changes
{
    std::vector<object_change> changes_;
    std::uint64_t revision_ = 0; ///< From which to continue watching.
};

} // namespace peridotspar
