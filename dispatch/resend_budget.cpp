#include "dispatch/resend_budget.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

/// Share of the bound that is used. The rest is a margin, because windows and
/// counts of live nodes differ slightly between nodes.
constexpr double usable_budget_share = 0.7;

void drop_before(std::deque<time_point>& r_times, time_point p_oldest)
{
    while (!r_times.empty() && r_times.front() < p_oldest)
    {
        r_times.pop_front();
    }
}

} // namespace

void resend_budget::drop_expired(history& r_history, time_point p_now) const
{
    drop_before(r_history.requests_, p_now - limits_.window_);
    drop_before(r_history.resends_, p_now - limits_.window_);
}

void resend_budget::record_request(const routing::service_name& p_service,
                                   time_point p_now)
{
    auto& recent = services_[p_service];
    recent.requests_.push_back(p_now);
    drop_expired(recent, p_now);
}

bool resend_budget::try_consume(const routing::service_name& p_service,
                                time_point p_now)
{
    auto& recent = services_[p_service];
    drop_expired(recent, p_now);
    const double slack =
        limits_.slack_ /
        static_cast<double>(std::max<std::size_t>(node_count_, 1));
    const double allowed =
        usable_budget_share *
        (limits_.ratio_ * static_cast<double>(recent.requests_.size()) + slack);
    if (static_cast<double>(recent.resends_.size() + 1) > allowed)
    {
        return false;
    }
    recent.resends_.push_back(p_now);
    return true;
}

} // namespace peridotspar::dispatch
