#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace peridotspar::bench
{

/// A fleet whose exchange is measured, and the load of each node.
struct fleet
{
    std::size_t nodes_;
    std::size_t failure_domains_;
    std::uint32_t engines_;
    double requests_per_s_; ///< Of a node.
};

/// Values in seconds, sorted.
class sample
{
public:
    void add(double p_value) { values_.push_back(p_value); }
    /// The quantile from 0 to 1; 0 if there are no values.
    [[nodiscard]] double quantile(double p_quantile);

private:
    std::vector<double> values_;
};

/// Measures the load exchange on a simulated clock and prints a line.
void measure_exchange(const fleet& p_fleet);
/// The same with 5% of datagrams lost, a cut failure domain, and the loss of a
/// third of the nodes at once.
void measure_exchange_faults(const fleet& p_fleet);
/// The same figures for full digests to every peer, at the intervals of
/// `entry_gossip`.
void measure_full_mesh(const fleet& p_fleet);

} // namespace peridotspar::bench
