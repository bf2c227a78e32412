#pragma once

#include "core/ids.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace peridotspar::policy
{

/// Waiting requests shared fairly between client accounts: each account has
/// a first-in-first-out queue, and the account with the least work served for
/// its weight goes next.
class account_queue
{
public:
    using account_filter = std::function<bool(account_index)>;

    void push_back(request_id p_request, account_index p_account);
    /// Puts a request back that had been served in part.
    void push_front(request_id p_request, account_index p_account);
    /// The next request of an account that may be served.
    [[nodiscard]] std::optional<request_id>
    peek(const account_filter& p_is_eligible) const;
    /// Takes a request out; false if it isn't here.
    bool remove(request_id p_request, account_index p_account);
    /// Charges an account for `p_normalized_work` served, divided by its
    /// weight.
    void charge(account_index p_account, double p_normalized_work);
    /// The most recent arrival of the account with the most waiting.
    [[nodiscard]] std::optional<request_id> newest_of_longest_queue() const;
    /// Oldest request of each account, for finding those that are due.
    void for_each_head(const std::function<void(request_id)>& p_visit) const;
    [[nodiscard]] std::size_t size() const noexcept { return size_; }

private:
    struct account_state
    {
        std::deque<request_id> requests_;
        double normalized_service_ = 0;
    };

    account_state& prepare_push(account_index p_account);

    std::map<account_index, account_state> accounts_;
    std::set<std::pair<double, account_index>> service_order_;
    double virtual_time_ = 0;
    std::size_t size_ = 0;
};

} // namespace peridotspar::policy
