#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotspar::policy
{

/// Number of priority tiers; tier 0 is the highest.
constexpr std::size_t tier_count = 6;

/// A request class with its latency targets.
struct class_entry
{
    std::string name_;
    tier tier_;
    duration first_token_target_{};
    duration inter_token_target_{};
    duration max_wait_{}; ///< Longest time in the queue.
};

/// A client account with its caps over all nodes.
struct account_entry
{
    std::string name_;
    double cap_tokens_per_s_ = 0;
    std::uint32_t cap_concurrent_ = 0;
    double weight_ = 1; ///< Relative share among accounts of the same tier.
};

/// A pool of backend servers that serve one model or one service.
struct pool_entry
{
    std::string name_;
    bool serves_model_ = true; ///< False: a service without token output.
};

/// A backend server.
struct backend_entry
{
    std::string name_;
    std::uint32_t slots_ = 1; ///< Requests that it serves concurrently.
    failure_domain_id failure_domain_;
    bool accepts_new_ = true; ///< May take new requests.
    std::vector<pool_index> pools_;
    std::string version_; ///< Of its software; streams go on at it only.
};

/// The part of the configuration that decisions depend on. Positions in the
/// vectors are the values of the corresponding index types.
struct catalogue
{
    std::vector<class_entry> classes_;
    std::vector<account_entry> accounts_;
    std::vector<pool_entry> pools_;
    std::vector<backend_entry> backends_;
};

/// One count for each tier.
using tier_counts = std::array<std::uint16_t, tier_count>;

} // namespace peridotspar::policy
