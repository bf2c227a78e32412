#include "tests/lease/model_node.hpp"

#include <utility>

namespace peridotspar
{

model_node::model_node(lease_options p_options, planted_fault p_fault,
                       duration p_clock_offset, std::int64_t p_unix_offset_s)
    : options_(std::move(p_options)),
      fault_(p_fault),
      clock_offset_(p_clock_offset),
      unix_offset_s_(p_unix_offset_s)
{
}

void model_node::start(std::uint64_t p_epoch)
{
    options_.run_ = options_.node_ + "/" + std::to_string(++starts_);
    keeper_.emplace(options_);
    epoch_ = p_epoch;
    suspended_until_ = {};
    faulty_token_ = 0;
}

void model_node::suspend(time_point p_now, time_point p_until)
{
    suspended_until_ = p_until;
    suspended_time_ += p_until - p_now;
}

void model_node::give_back()
{
    keeper_->give_back();
    faulty_token_ = 0;
}

std::optional<lease_call> model_node::next(time_point p_now)
{
    const std::int64_t unix_s =
        std::chrono::duration_cast<std::chrono::seconds>(
            p_now.time_since_epoch())
            .count() +
        unix_offset_s_;
    return keeper_->next(clock(p_now), static_cast<std::uint64_t>(unix_s));
}

void model_node::on_answer(const lease_call& p_call,
                           const lease_answer& p_answer,
                           std::optional<std::uint64_t> p_epoch,
                           time_point p_now)
{
    if (p_epoch)
    {
        learn_epoch(*p_epoch);
    }
    keeper_->on_answer(p_call.id_, p_answer, clock(p_now));
    track_fault(p_call, p_answer, p_now);
}

void model_node::learn_epoch(std::uint64_t p_epoch)
{
    if (p_epoch <= epoch_)
    {
        return;
    }
    epoch_ = p_epoch;
    keeper_->on_store_reset();
}

bool model_node::may_act(time_point p_now) const
{
    if (fault_ == planted_fault::validity_from_answer)
    {
        return faulty_token_ != 0 && p_now < faulty_until_;
    }
    return keeper_->may_act(clock(p_now));
}

std::uint64_t model_node::token() const
{
    return fault_ == planted_fault::validity_from_answer ? faulty_token_
                                                         : keeper_->token();
}

time_point model_node::clock(time_point p_now) const
{
    const time_point boot = p_now + clock_offset_;
    return fault_ == planted_fault::clock_stops_while_suspended
               ? boot - suspended_time_
               : boot;
}

void model_node::track_fault(const lease_call& p_call,
                             const lease_answer& p_answer, time_point p_now)
{
    const bool is_confirmed = p_answer.kind_ == lease_answer::kind::written &&
                              p_call.record_.holder_ == options_.node_;
    if (is_confirmed)
    {
        faulty_token_ = p_call.record_.token_;
        faulty_until_ = p_now + options_.lifetime_ - options_.margin_;
        return;
    }
    const bool is_other =
        p_answer.record_ && p_answer.record_->run_ != options_.run_;
    if (is_other)
    {
        faulty_token_ = 0;
    }
}

} // namespace peridotspar
