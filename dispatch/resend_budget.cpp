#include "dispatch/resend_budget.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

/// Share of the bound that is used. The rest is a margin, because windows and
/// counts of live nodes differ slightly between nodes.
constexpr double usable_budget_share = 0.7;
constexpr int parts_per_window = 100;

} // namespace

void windowed_sum::add(double p_amount, time_point p_at, duration p_window)
{
    total_ += p_amount;
    const bool starts_part = parts_.empty() || p_at - parts_.back().first_ >=
                                                   p_window / parts_per_window;
    if (starts_part)
    {
        parts_.push_back({p_at, p_at, p_amount});
        return;
    }
    parts_.back().last_ = p_at;
    parts_.back().amount_ += p_amount;
}

void windowed_sum::drop_before(time_point p_oldest)
{
    while (!parts_.empty() && parts_.front().last_ < p_oldest)
    {
        total_ -= parts_.front().amount_;
        parts_.pop_front();
    }
    if (parts_.empty())
    {
        total_ = 0; // Removes rounding errors.
    }
}

double resend_budget::unused(history& r_history, time_point p_now) const
{
    const time_point oldest = p_now - limits_.window_;
    // A part of the requests is kept late, so it is dropped earlier.
    r_history.requests_.drop_before(oldest +
                                    limits_.window_ / parts_per_window);
    r_history.resends_.drop_before(oldest);
    r_history.lent_.drop_before(oldest);
    const double slack =
        limits_.slack_ /
        static_cast<double>(std::max<std::size_t>(node_count_, 1));
    const double allowed =
        usable_budget_share *
        (limits_.ratio_ * r_history.requests_.total() + slack);
    return allowed - r_history.resends_.total() - r_history.lent_.total();
}

void resend_budget::record_request(const routing::service_name& p_service,
                                   time_point p_now)
{
    auto& recent = services_[p_service];
    recent.requests_.add(1, p_now, limits_.window_);
    (void)unused(recent, p_now);
}

bool resend_budget::try_consume(const routing::service_name& p_service,
                                time_point p_now)
{
    auto& recent = services_[p_service];
    if (unused(recent, p_now) < 1)
    {
        return false;
    }
    recent.resends_.add(1, p_now, limits_.window_);
    return true;
}

void resend_budget::consume(const routing::service_name& p_service,
                            double p_resends, time_point p_now)
{
    services_[p_service].resends_.add(p_resends, p_now, limits_.window_);
}

void resend_budget::lend(const routing::service_name& p_service,
                         double p_resends, time_point p_until, time_point p_now)
{
    auto& recent = services_[p_service];
    recent.lent_.add(p_resends, p_until, limits_.window_);
    (void)unused(recent, p_now);
}

double resend_budget::unused(const routing::service_name& p_service,
                             time_point p_now)
{
    const auto found = services_.find(p_service);
    if (found != services_.end())
    {
        return unused(found->second, p_now);
    }
    history none;
    return unused(none, p_now);
}

std::map<routing::service_name, double> resend_budget::unused(time_point p_now)
{
    std::map<routing::service_name, double> amounts;
    for (auto& [service, recent] : services_)
    {
        amounts[service] = unused(recent, p_now);
    }
    std::erase_if(services_,
                  [](const auto& p_item)
                  {
                      const auto& recent = p_item.second;
                      return recent.requests_.total() == 0 &&
                             recent.resends_.total() == 0 &&
                             recent.lent_.total() == 0;
                  });
    return amounts;
}

} // namespace peridotspar::dispatch
