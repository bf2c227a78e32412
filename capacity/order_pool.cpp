#include "capacity/order_pool.hpp"

#include <algorithm>

namespace peridotspar::capacity
{

bool order_pool::set_listed(unsigned p_listed, time_point p_now)
{
    const bool lost = listed_ > 0 && p_listed == 0 && leaving() < listed_;
    if (p_listed > listed_)
    {
        settle(&pending::coming_, p_listed - listed_);
    }
    else
    {
        settle(&pending::leaving_, listed_ - p_listed);
    }
    listed_ = p_listed;
    drop_settled(p_now);
    return lost;
}

void order_pool::record_order(unsigned p_desired, time_point p_settled)
{
    const unsigned before = expected();
    pending_.push_back({p_desired, p_desired > before ? p_desired - before : 0,
                        p_desired < before ? before - p_desired : 0,
                        p_settled});
    last_ = {p_desired, p_settled};
}

void order_pool::withdraw(unsigned p_desired)
{
    const auto found = std::find_if(pending_.rbegin(), pending_.rend(),
                                    [&](const pending& p_pending) {
                                        return p_pending.desired_ == p_desired;
                                    });
    if (found != pending_.rend())
    {
        pending_.erase(std::prev(found.base()));
    }
    if (last_ && last_->desired_ == p_desired)
    {
        last_.reset();
    }
}

void order_pool::forget_orders()
{
    pending_.clear();
    last_.reset();
}

void order_pool::halve_step(unsigned p_desired)
{
    const unsigned step = p_desired > expected() ? p_desired - expected() : 1;
    max_step_ = std::max(1U, step / 2);
}

unsigned order_pool::leaving() const
{
    unsigned sum = 0;
    for (const pending& order : pending_)
    {
        sum += order.leaving_;
    }
    return std::min(sum, listed_);
}

unsigned order_pool::coming() const
{
    unsigned sum = 0;
    for (const pending& order : pending_)
    {
        sum += order.coming_;
    }
    return sum;
}

unsigned order_pool::expected() const
{
    unsigned away = 0;
    for (const pending& order : pending_)
    {
        away += order.leaving_;
    }
    const unsigned all = listed_ + coming();
    return all > away ? all - away : 0;
}

bool order_pool::is_repeat(unsigned p_desired, time_point p_now) const
{
    return last_ && last_->desired_ == p_desired && p_now < last_->settled_;
}

unsigned order_pool::room(time_point p_now) const
{
    return p_now < refused_until_ || p_now < rejected_until_ ? 0 : max_step_;
}

bool order_pool::may_reduce(time_point p_now) const
{
    return p_now >= rejected_until_;
}

void order_pool::settle(unsigned pending::*p_part, unsigned p_seen)
{
    for (pending& order : pending_)
    {
        const unsigned part = std::min(order.*p_part, p_seen);
        order.*p_part -= part;
        p_seen -= part;
    }
}

void order_pool::drop_settled(time_point p_now)
{
    std::erase_if(pending_,
                  [&](const pending& p_pending)
                  {
                      if (p_now >= p_pending.settled_ && p_pending.coming_ > 0)
                      {
                          failed_at_ = p_now;
                      }
                      return p_now >= p_pending.settled_ ||
                             (p_pending.coming_ == 0 &&
                              p_pending.leaving_ == 0);
                  });
}

} // namespace peridotspar::capacity
