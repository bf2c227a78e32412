#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace peridotspar
{

/// Upper bounds of the latency buckets in milliseconds. All nodes use the
/// same bounds, so that their histograms can be added without losing precision.
constexpr std::array<double, 18> latency_bounds_ms{
    1,   2,   5,    10,   20,   34,   50,    100,   200,
    500, 900, 1800, 3000, 5000, 8000, 15000, 30000, 60000};

/// Counts by bucket; the last bucket holds latencies above every bound.
using latency_histogram =
    std::array<std::uint64_t, latency_bounds_ms.size() + 1>;

/// The index of the bucket that contains a latency in milliseconds.
[[nodiscard]] inline std::size_t latency_bucket_index(double p_latency_ms)
{
    const auto found = std::lower_bound(latency_bounds_ms.begin(),
                                        latency_bounds_ms.end(), p_latency_ms);
    return static_cast<std::size_t>(found - latency_bounds_ms.begin());
}

} // namespace peridotspar
