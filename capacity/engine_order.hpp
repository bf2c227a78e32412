#pragma once

#include "core/ids.hpp"

namespace peridotspar::capacity
{

/// The number of engines of one kind that a failure domain is to have.
struct engine_order
{
    failure_domain_id domain_;
    /// Absolute number, not a difference.
    unsigned desired_ = 0;
    /// Spot (preemptible) engines; false: standard engines.
    bool spot_ = false;

    friend bool operator==(const engine_order&, const engine_order&) = default;
};

/// Result of sending an order.
enum class order_result
{
    done,
    /// No such engine is available there now (409).
    none_to_be_had,
    /// Not sent, or not known to have arrived; to be decided anew.
    retry,
    /// The order itself is refused; repeating it soon doesn't help.
    rejected
};

} // namespace peridotspar::capacity
