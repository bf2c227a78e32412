#pragma once

#include <cstdint>
#include <string>
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

/// One page of the list of all objects of a kind.
struct object_page
{
    std::vector<object_record> objects_;
    bool has_more_ = false;      ///< Whether further pages follow.
    std::uint64_t revision_ = 0; ///< Of the store at the time of its response.
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
