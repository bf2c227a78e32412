#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotspar
{

/// Contents of the lease record in the store.
struct lease_record
{
    /// Length limit of `recent_`.
    static constexpr std::size_t max_recent = 4;

    std::string holder_; ///< Node name; empty if the lease was released.
    /// Identifies the process of the holder. A release leaves it in place, so
    /// that the former holder recognizes its own write.
    std::string run_;
    std::uint64_t token_ = 0;    ///< Fencing token of the holder.
    std::uint64_t renewals_ = 0; ///< Number of writes; each write differs.
    /// Names of earlier holders that may have acted within the last lifetime,
    /// newest last.
    std::vector<std::string> recent_;
    std::string payload_; ///< Data of the duties, opaque to the lease.

    bool operator==(const lease_record&) const = default;
};

} // namespace peridotspar
