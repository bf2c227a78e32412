#include "tests/lease/action_history.hpp"

#include <utility>

namespace peridotspar
{

namespace
{

std::string describe(const lease_action& p_action)
{
    return p_action.run_ + " with token " + std::to_string(p_action.token_) +
           " at " +
           std::to_string(to_seconds(p_action.at_.time_since_epoch())) + " s";
}

} // namespace

void action_history::record(const lease_action& p_action)
{
    check_token(p_action);
    check_return(p_action);
    last_of_node_[p_action.node_] = p_action.at_;
    last_ = p_action;
}

void action_history::report(std::string p_violation)
{
    if (!violation_)
    {
        violation_ = std::move(p_violation);
    }
}

void action_history::check_token(const lease_action& p_action)
{
    if (p_action.token_ == 0)
    {
        report("acts without a token: " + describe(p_action));
    }
    if (last_ && p_action.token_ < last_->token_)
    {
        report("lower token: " + describe(p_action) + " after " +
               describe(*last_));
    }
    const auto [found, is_new] =
        run_of_token_.emplace(p_action.token_, p_action.run_);
    if (!is_new && found->second != p_action.run_)
    {
        report("same token: " + describe(p_action) + " and " + found->second);
    }
}

void action_history::check_return(const lease_action& p_action)
{
    if (!last_ || last_->node_ == p_action.node_)
    {
        return;
    }
    const auto before = last_of_node_.find(p_action.node_);
    if (before != last_of_node_.end() &&
        p_action.at_ - before->second < lifetime_)
    {
        report("returns within the lifetime: " + describe(p_action) +
               " after " + describe(*last_));
    }
}

} // namespace peridotspar
