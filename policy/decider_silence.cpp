// Silent and slow backend servers: when a running request leaves its server.

#include "policy/decider.hpp"

#include <algorithm>

namespace peridotspar::policy
{

namespace
{

/// An attempt is overdue when it has been silent for this many times the usual
/// time between tokens, and for at least `min_stall_time`.
constexpr double stall_gap_factor = 30;
constexpr duration min_stall_time = 1s;
/// Servers that pause together come back sooner than after this many times the
/// stall limit. Those that stay silent for longer hang.
constexpr int hang_factor = 3;

} // namespace

duration decider::stall_limit(pool_index p_pool) const
{
    return std::max<duration>(
        min_stall_time,
        from_seconds(stall_gap_factor * backends_.median_token_gap_s(p_pool)));
}

duration decider::silence_of(const attempt_state& p_attempt) const
{
    return now_ - (p_attempt.has_output_ ? p_attempt.last_output_at_
                                         : p_attempt.started_at_);
}

bool decider::is_overdue(const attempt_state& p_attempt) const
{
    const request_state& owner = requests_.at(p_attempt.request_);
    const pool_index request_pool = owner.spec_.pool_;
    const double median_first_token_s =
        backends_.median_first_token_s(request_pool);
    if (!owner.spec_.idempotent_ || median_first_token_s <= 0 ||
        owner.failed_attempts_ >= tuning_.max_attempts_)
    {
        return false;
    }
    if (p_attempt.has_output_)
    {
        return backends_.median_token_gap_s(request_pool) > 0 &&
               silence_of(p_attempt) > stall_limit(request_pool);
    }
    const double mean_prompt_tokens =
        std::max(1.0, pools_[request_pool.value()].prompt_tokens_.value());
    const double prompt_ratio =
        std::max(1.0, owner.spec_.prompt_tokens_ / mean_prompt_tokens);
    const auto limit =
        std::max(from_seconds(median_first_token_s * prompt_ratio *
                              tuning_.overdue_ratio_),
                 from_seconds(median_first_token_s * prompt_ratio) +
                     tuning_.min_overdue_margin_);
    return silence_of(p_attempt) > limit;
}

bool decider::is_silent(backend_index p_backend, duration p_window) const
{
    if (backends_.had_output_since(p_backend, now_ - p_window))
    {
        return false;
    }
    if (backends_.was_left_silent(p_backend, now_))
    {
        return true;
    }
    const auto& running = running_by_backend_[p_backend.value()];
    return std::any_of(running.begin(), running.end(),
                       [&](attempt_id p_id)
                       {
                           const attempt_state& attempt = attempts_.at(p_id);
                           return attempt.has_output_
                                      ? silence_of(attempt) > p_window
                                      : is_overdue(attempt);
                       });
}

bool decider::is_common_silence(pool_index p_pool, duration p_window) const
{
    const auto& subset = pools_[p_pool.value()].subset_;
    const auto silent = std::count_if(
        subset.begin(), subset.end(),
        [&](backend_index p_member) { return is_silent(p_member, p_window); });
    const auto working = std::count_if(
        subset.begin(), subset.end(),
        [&](backend_index p_member)
        { return backends_.had_output_since(p_member, now_ - p_window); });
    return silent > 1 && silent > working;
}

std::optional<backend_index>
decider::choose_replacement(const request_state& p_request, duration p_window,
                            bool p_needs_output) const
{
    const pool_state& state = pools_[p_request.spec_.pool_.value()];
    const backend_index current = attempts_.at(*p_request.attempt_).backend_;
    std::optional<backend_index> best;
    for (std::size_t i = 0; i < state.subset_.size(); ++i)
    {
        const backend_index candidate = state.subset_[i];
        // Only a request with output has something to lose in an engine's
        // queue.
        const bool is_secured = p_request.received_tokens_ == 0 ||
                                !may_be_contended(p_request, candidate);
        const bool is_sound =
            p_needs_output
                ? backends_.had_output_since(candidate, now_ - p_window)
                : !is_silent(candidate, p_window);
        if (candidate == current || backends_.is_slow(candidate) || !is_sound ||
            !is_secured || !has_room(p_request, i))
        {
            continue;
        }
        if (!best || score(candidate) < score(*best))
        {
            best = candidate;
        }
    }
    return best;
}

void decider::move_off_slow_backends()
{
    // An attempt stays until it has produced this many tokens, as they show
    // whether the backend server is still slow.
    constexpr std::uint32_t probe_tokens = 3;
    std::vector<attempt_id> movable;
    for (const backend_index slow : backends_.slow_backends())
    {
        for (const attempt_id running : running_by_backend_[slow.value()])
        {
            const attempt_state& attempt = attempts_.at(running);
            if (requests_.at(attempt.request_).spec_.idempotent_ &&
                attempt.tokens_ >= probe_tokens)
            {
                movable.push_back(running);
            }
        }
    }
    for (const attempt_id id : movable)
    {
        // Moving an earlier attempt may have preempted this one.
        const auto found = attempts_.find(id);
        if (found == attempts_.end())
        {
            continue;
        }
        request_state& owner = requests_.at(found->second.request_);
        const pool_index owner_pool = owner.spec_.pool_;
        const duration window = stall_limit(owner_pool) / 2;
        const bool needs_output = is_common_silence(owner_pool, window);
        if (const auto better = choose_replacement(owner, window, needs_output))
        {
            move_to(owner, *better);
            schedule(owner.spec_.pool_);
        }
    }
}

void decider::retry_overdue()
{
    std::vector<attempt_id> overdue;
    for (const auto& [id, attempt] : attempts_)
    {
        if (is_overdue(attempt))
        {
            overdue.push_back(id);
        }
    }
    std::sort(overdue.begin(), overdue.end());
    overdue_.clear();
    for (const attempt_id id : overdue)
    {
        record_silence(attempts_.at(id));
        if (!move_off_silent_backend(attempts_.at(id)))
        {
            overdue_.push_back(id);
        }
    }
}

void decider::retry_overdue_first()
{
    std::erase_if(overdue_,
                  [this](attempt_id p_id)
                  {
                      const auto found = attempts_.find(p_id);
                      if (found == attempts_.end() ||
                          !is_overdue(found->second))
                      {
                          return true;
                      }
                      const auto& owner = requests_.at(found->second.request_);
                      return !higher_tier_waits(owner) &&
                             move_off_silent_backend(found->second);
                  });
}

bool decider::higher_tier_waits(const request_state& p_request)
{
    const auto& tiers = pools_[p_request.spec_.pool_.value()].tiers_;
    const auto has_credit = [this](account_index p_account)
    { return cap_limiter_.has_credit(p_account, now_); };
    return std::any_of(tiers.begin(), tiers.begin() + p_request.tier_.value(),
                       [&](const tier_queues& p_tier)
                       {
                           return std::any_of(
                               p_tier.lanes_.begin(), p_tier.lanes_.end(),
                               [&](const account_queue& p_lane)
                               { return p_lane.peek(has_credit).has_value(); });
                       });
}

void decider::record_silence(const attempt_state& p_attempt)
{
    const pool_index owner_pool = requests_.at(p_attempt.request_).spec_.pool_;
    const duration silence = silence_of(p_attempt);
    const duration window = std::min(silence, stall_limit(owner_pool)) / 2;
    const bool may_be_queued =
        !p_attempt.has_output_ && backends_.load(p_attempt.backend_, now_) >=
                                      backends_.slots(p_attempt.backend_);
    if (!may_be_queued && !is_common_silence(owner_pool, window) &&
        !backends_.had_output_since(p_attempt.backend_, now_ - silence))
    {
        // The backend server has sent no output for any request, so it is
        // stalled rather than busy.
        backends_.record_silence(p_attempt.backend_, silence);
    }
}

bool decider::move_off_silent_backend(const attempt_state& p_attempt)
{
    request_state& owner = requests_.at(p_attempt.request_);
    const pool_index owner_pool = owner.spec_.pool_;
    const duration silence = silence_of(p_attempt);
    const duration limit = stall_limit(owner_pool);
    const duration window = std::min(silence, limit) / 2;
    const bool needs_output =
        is_common_silence(owner_pool, window) && silence <= hang_factor * limit;
    const auto replacement = choose_replacement(owner, window, needs_output);
    if (!replacement || !retry_budget_.try_consume())
    {
        return false;
    }
    ++owner.failed_attempts_;
    backends_.record_left_silent(p_attempt.backend_, now_);
    move_to(owner, *replacement);
    return true;
}

} // namespace peridotspar::policy
