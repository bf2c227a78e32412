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

/// Weighted fair queue of waiting requests. Each client account has a FIFO
/// queue; the account with the least service for its weight is served next.
/// Not thread-safe.
class account_queue
{
public:
    /// Tells whether an account may be served now.
    using account_filter = std::function<bool(account_index)>;

    void push_back(request_id p_request, account_index p_account);
    /// Puts a request that was dispatched before back at the head of its
    /// account's queue.
    void push_front(request_id p_request, account_index p_account);
    /// The head of the first account in service order that `p_is_eligible`
    /// accepts; empty if there is none. The request stays queued.
    [[nodiscard]] std::optional<request_id>
    peek(const account_filter& p_is_eligible) const;
    /// Removes a request. Returns false if it isn't queued.
    bool remove(request_id p_request, account_index p_account);
    /// Adds service to an account. `p_normalized_work` is the work divided by
    /// the account's weight.
    void charge(account_index p_account, double p_normalized_work);
    /// The last request of the account with the longest queue; empty if
    /// nothing is queued.
    [[nodiscard]] std::optional<request_id> newest_of_longest_queue() const;
    /// Calls `p_visit` with the first request of each account's queue, in
    /// service order.
    void for_each_head(const std::function<void(request_id)>& p_visit) const;
    [[nodiscard]] std::size_t size() const noexcept { return size_; }

private:
    struct account_state
    {
        std::deque<request_id> requests_;
        double normalized_service_ = 0; ///< Work served per unit of weight.
    };

    /// Enters an idle account into the service order and counts one request.
    account_state& prepare_push(account_index p_account);

    std::map<account_index, account_state> accounts_;
    /// Accounts with queued requests, by normalized service.
    std::set<std::pair<double, account_index>> service_order_;
    /// Highest normalized service of any account just before a charge. Never
    /// decreases.
    double virtual_time_ = 0;
    std::size_t size_ = 0;
};

} // namespace peridotspar::policy
