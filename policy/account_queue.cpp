#include "policy/account_queue.hpp"

#include <algorithm>

namespace peridotspar::policy
{

account_queue::account_state&
account_queue::prepare_push(account_index p_account)
{
    account_state& state = accounts_[p_account];
    if (state.requests_.empty())
    {
        // An account that was idle starts at the virtual time, so that it
        // can't claim service for the time in which it had no requests.
        state.normalized_service_ =
            std::max(state.normalized_service_, virtual_time_);
        service_order_.emplace(state.normalized_service_, p_account);
    }
    ++size_;
    return state;
}

void account_queue::push_back(request_id p_request, account_index p_account)
{
    prepare_push(p_account).requests_.push_back(p_request);
}

void account_queue::push_front(request_id p_request, account_index p_account)
{
    prepare_push(p_account).requests_.push_front(p_request);
}

std::optional<request_id>
account_queue::peek(const account_filter& p_is_eligible) const
{
    for (const auto& [normalized_service, account] : service_order_)
    {
        if (p_is_eligible(account))
        {
            return accounts_.at(account).requests_.front();
        }
    }
    return std::nullopt;
}

bool account_queue::remove(request_id p_request, account_index p_account)
{
    const auto found = accounts_.find(p_account);
    if (found == accounts_.end())
    {
        return false;
    }
    account_state& state = found->second;
    const auto position =
        std::find(state.requests_.begin(), state.requests_.end(), p_request);
    if (position == state.requests_.end())
    {
        return false;
    }
    state.requests_.erase(position);
    --size_;
    if (state.requests_.empty())
    {
        service_order_.erase({state.normalized_service_, p_account});
    }
    return true;
}

void account_queue::charge(account_index p_account, double p_normalized_work)
{
    account_state& state = accounts_[p_account];
    const bool waiting = !state.requests_.empty();
    if (waiting)
    {
        service_order_.erase({state.normalized_service_, p_account});
    }
    virtual_time_ = std::max(virtual_time_, state.normalized_service_);
    state.normalized_service_ += p_normalized_work;
    if (waiting)
    {
        service_order_.emplace(state.normalized_service_, p_account);
    }
}

std::optional<request_id> account_queue::newest_of_longest_queue() const
{
    const account_state* longest = nullptr;
    for (const auto& [normalized_service, account] : service_order_)
    {
        const account_state& state = accounts_.at(account);
        if (longest == nullptr ||
            state.requests_.size() > longest->requests_.size())
        {
            longest = &state;
        }
    }
    if (longest == nullptr)
    {
        return std::nullopt;
    }
    return longest->requests_.back();
}

void account_queue::for_each_head(
    const std::function<void(request_id)>& p_visit) const
{
    for (const auto& [normalized_service, account] : service_order_)
    {
        p_visit(accounts_.at(account).requests_.front());
    }
}

} // namespace peridotspar::policy
