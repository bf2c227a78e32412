#include "policy/account_queue.hpp"

#include <algorithm>

namespace peridotspar::policy
{

account_queue::line& account_queue::activate(account_index p_account)
{
    line& entry = lines_[p_account];
    if (entry.requests_.empty())
    {
        // An account that was idle starts level with the least served one;
        // it must not claim the time in which it asked for nothing.
        entry.served_ = std::max(entry.served_, floor_);
        order_.emplace(entry.served_, p_account);
    }
    ++size_;
    return entry;
}

void account_queue::push_back(request_id p_request, account_index p_account)
{
    activate(p_account).requests_.push_back(p_request);
}

void account_queue::push_front(request_id p_request, account_index p_account)
{
    activate(p_account).requests_.push_front(p_request);
}

std::optional<request_id> account_queue::peek(const eligible& p_eligible) const
{
    for (const auto& [served, account] : order_)
    {
        if (p_eligible(account))
        {
            return lines_.at(account).requests_.front();
        }
    }
    return std::nullopt;
}

bool account_queue::remove(request_id p_request, account_index p_account)
{
    const auto found = lines_.find(p_account);
    if (found == lines_.end())
    {
        return false;
    }
    line& entry = found->second;
    const auto position =
        std::find(entry.requests_.begin(), entry.requests_.end(), p_request);
    if (position == entry.requests_.end())
    {
        return false;
    }
    entry.requests_.erase(position);
    --size_;
    if (entry.requests_.empty())
    {
        order_.erase({entry.served_, p_account});
    }
    return true;
}

void account_queue::charge(account_index p_account, double p_work)
{
    line& entry = lines_[p_account];
    const bool waiting = !entry.requests_.empty();
    if (waiting)
    {
        order_.erase({entry.served_, p_account});
    }
    floor_ = std::max(floor_, entry.served_);
    entry.served_ += p_work;
    if (waiting)
    {
        order_.emplace(entry.served_, p_account);
    }
}

std::optional<request_id> account_queue::newest() const
{
    const line* longest = nullptr;
    for (const auto& [served, account] : order_)
    {
        const line& entry = lines_.at(account);
        if (longest == nullptr ||
            entry.requests_.size() > longest->requests_.size())
        {
            longest = &entry;
        }
    }
    if (longest == nullptr)
    {
        return std::nullopt;
    }
    return longest->requests_.back();
}

void account_queue::each_oldest(
    const std::function<void(request_id)>& p_visit) const
{
    for (const auto& [served, account] : order_)
    {
        p_visit(lines_.at(account).requests_.front());
    }
}

} // namespace peridotspar::policy
