#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace peridotspar
{

/// An object of a store that identifies objects by kind and name.
struct object_record
{
    std::string name_;
    std::uint64_t revision_ = 0; ///< Store revision of its last change.
    bool deleting_ = false;      ///< Its deletion was requested.
    std::string document_;       ///< Content as its writer stored it.
};

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
