#pragma once

#include "lease/lease_keeper.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace peridotspar
{

/// The store's object that holds the lease record, in memory.
class model_store
{
public:
    struct copy
    {
        std::optional<lease_record> record_;
        std::uint64_t revision_ = 0;
        std::uint64_t last_revision_ = 0;
    };

    /// Performs a call and returns the true result.
    lease_answer perform(const lease_call& p_call);
    void remove() { state_.record_.reset(); }
    [[nodiscard]] copy take_copy() const { return state_; }
    /// Comes back from an older copy; later revisions are given out again.
    void reset(const copy& p_copy);

    /// Number of resets.
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
    [[nodiscard]] const std::optional<lease_record>& record() const
    {
        return state_.record_;
    }
    /// Whether a record with this token and payload was ever written.
    [[nodiscard]] bool had_payload(std::uint64_t p_token,
                                   const std::string& p_payload) const
    {
        return written_.contains({p_token, p_payload});
    }

private:
    lease_answer write(const lease_record& p_record);

    copy state_;
    std::uint64_t epoch_ = 0;
    std::set<std::pair<std::uint64_t, std::string>> written_;
};

} // namespace peridotspar
