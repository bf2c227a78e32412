#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotspar::policy
{

constexpr std::size_t tier_count = 6;

struct class_entry
{
    std::string name_;
    tier tier_;
    duration first_token_target_{};
    duration inter_token_target_{};
    duration max_wait_{}; ///< Longest time in the queue before service.
};

struct account_entry
{
    std::string name_;
    double cap_tokens_per_s_ = 0;
    std::uint32_t cap_concurrent_ = 0;
    double weight_ = 1; ///< Share among accounts of the same tier.
};

/// The backend servers of one model or of one plain service.
struct pool_entry
{
    std::string name_;
    bool serves_model_ = true;
};

struct backend_entry
{
    std::string name_;
    std::uint32_t slots_ = 1; ///< Requests that it serves at a time.
    failure_domain_id failure_domain_;
    bool accepts_new_ = true;
    std::vector<pool_index> pools_;
};

/// The part of a configuration that decisions need, with dense indexes.
struct catalogue
{
    std::vector<class_entry> classes_;
    std::vector<account_entry> accounts_;
    std::vector<pool_entry> pools_;
    std::vector<backend_entry> backends_;
};

/// Counts by tier.
using tier_counts = std::array<std::uint16_t, tier_count>;

} // namespace peridotspar::policy
