#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace peridotspar
{

/// An object of a store that keeps objects by kind and name.
struct object_record
{
    std::string name_;
    std::uint64_t revision_ = 0; ///< Of its last change.
    bool deleting_ = false;
    std::string document_; ///< What its writer wrote.
};

/// A part of the list of a kind's objects.
struct object_page
{
    std::vector<object_record> objects_;
    bool has_more_ = false;
    std::uint64_t revision_ = 0; ///< Of the store, when it answered.
};

struct object_change
{
    object_record object_;
    bool removed_ = false;
};

/// What changed since the revision that was asked for.
struct object_changes
{
    std::vector<object_change> changes_;
    std::uint64_t revision_ = 0; ///< To go on from.
};

} // namespace peridotspar
