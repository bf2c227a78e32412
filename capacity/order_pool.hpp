#pragma once

#include "core/clock.hpp"

#include <deque>
#include <limits>
#include <optional>

namespace peridotspar::capacity
{

/// Engines of one kind in one failure domain: those in the list and the effect
/// of orders that the list doesn't show yet.
class order_pool
{
public:
    /// Takes the number of engines in the list. Returns true if it fell to
    /// zero and orders don't explain that.
    bool set_listed(unsigned p_listed, time_point p_now);
    /// `p_settled`: when the effect has to be visible in the list.
    void record_order(unsigned p_desired, time_point p_settled);
    /// An order that had no effect, or maybe none.
    void withdraw(unsigned p_desired);
    /// No effect of earlier orders is expected any more.
    void forget_orders();
    /// No orders of any size until `p_until`.
    void reject_until(time_point p_until) { rejected_until_ = p_until; }
    /// No larger number until `p_until`.
    void refuse_until(time_point p_until) { refused_until_ = p_until; }
    /// Whether ordered engines haven't arrived in time since `p_since`.
    [[nodiscard]] bool has_failed_since(time_point p_since) const
    {
        return failed_at_ && *failed_at_ >= p_since;
    }
    /// After an order for more engines than available, the next one asks for
    /// half as many, so that it succeeds when some are available.
    void halve_step(unsigned p_desired);
    void reset_step() { max_step_ = no_limit; }

    [[nodiscard]] unsigned listed() const { return listed_; }
    /// Engines ordered away that the list still shows.
    [[nodiscard]] unsigned leaving() const;
    /// Engines after all orders have taken effect.
    [[nodiscard]] unsigned expected() const;
    /// Whether the last order had the same number and may still take effect.
    [[nodiscard]] bool is_repeat(unsigned p_desired, time_point p_now) const;
    /// Engines that may be added now.
    [[nodiscard]] unsigned room(time_point p_now) const;
    [[nodiscard]] bool may_reduce(time_point p_now) const;

private:
    static constexpr unsigned no_limit = std::numeric_limits<unsigned>::max();

    /// The effect of one order that isn't visible yet.
    struct pending
    {
        unsigned desired_;
        unsigned coming_;
        unsigned leaving_;
        time_point settled_;
    };
    struct sent
    {
        unsigned desired_;
        time_point settled_;
    };

    [[nodiscard]] unsigned coming() const;
    void settle(unsigned pending::*p_part, unsigned p_seen);
    void drop_settled(time_point p_now);

    unsigned listed_ = 0;
    unsigned max_step_ = no_limit;
    /// Oldest first.
    std::deque<pending> pending_;
    std::optional<sent> last_;
    /// When ordered engines were last found not to have arrived.
    std::optional<time_point> failed_at_;
    time_point refused_until_{};
    time_point rejected_until_{};
};

} // namespace peridotspar::capacity
