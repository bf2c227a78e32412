#include "lease/lease_keeper.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace peridotspar
{

namespace
{

/// Writes with unknown results that are remembered. They are sent at least a
/// retry interval apart, so older ones are of no use any more.
constexpr std::size_t max_unresolved = 16;
/// Tokens above this are taken for garbage, so that adding 1 can't overflow.
constexpr std::uint64_t max_token =
    std::numeric_limits<std::uint64_t>::max() / 2;

const std::string no_payload;

bool is_same_write(const lease_record& p_left, const lease_record& p_right)
{
    return std::tie(p_left.run_, p_left.token_, p_left.renewals_) ==
           std::tie(p_right.run_, p_right.token_, p_right.renewals_);
}

bool contains(const std::vector<std::string>& p_names,
              const std::string& p_name)
{
    return std::find(p_names.begin(), p_names.end(), p_name) != p_names.end();
}

/// Makes a name the newest of the recent holders.
void add_recent(std::vector<std::string>& r_recent, const std::string& p_name)
{
    std::erase(r_recent, p_name);
    r_recent.push_back(p_name);
    if (r_recent.size() > lease_record::max_recent)
    {
        r_recent.erase(r_recent.begin());
    }
}

bool is_newer(const lease_record& p_left, const lease_record& p_right)
{
    return std::tie(p_left.token_, p_left.renewals_) >
           std::tie(p_right.token_, p_right.renewals_);
}

} // namespace

lease_keeper::lease_keeper(lease_options p_options)
    : options_(std::move(p_options))
{
}

void lease_keeper::set_candidate(bool p_candidate)
{
    if (p_candidate && !candidate_)
    {
        next_read_at_ = {};
    }
    candidate_ = p_candidate;
}

void lease_keeper::set_known_token(std::uint64_t p_token)
{
    if (p_token > max_token)
    {
        return;
    }
    if (p_token > highest_token())
    {
        // The record as seen isn't that of the last holder, who may still act.
        // A reset of the store may show the same record again.
        seen_.reset();
        next_read_at_ = {};
    }
    known_token_ = std::max(known_token_, p_token);
}

void lease_keeper::set_payload(std::string p_payload)
{
    if (!own_)
    {
        return;
    }
    payload_ = std::move(p_payload);
}

void lease_keeper::give_back()
{
    stopping_ = true;
}

void lease_keeper::on_store_reset()
{
    if (in_flight_)
    {
        in_flight_->is_void_ = true;
    }
    // A write from before the reset may still be done, on a revision that was
    // given out again, and would then replace another node's record.
    unresolved_.clear();
    seen_.reset();
    last_revision_ = 0;
    must_read_ = true;
    next_read_at_ = {};
    must_confirm_ = own_.has_value();
    // The former holder may not have learned of the reset yet.
    waits_due_ = true;
}

void lease_keeper::start_waits(time_point p_now)
{
    if (!waits_due_)
    {
        return;
    }
    waits_due_ = false;
    no_quick_takeover_until_ = p_now + options_.lifetime_;
}

std::optional<lease_call> lease_keeper::next(time_point p_now,
                                             std::uint64_t p_unix_s)
{
    start_waits(p_now);
    if (own_ && (is_superseded() || (must_confirm_ && p_now >= held_until_)))
    {
        lose(p_now);
    }
    if (own_ && !expired_ && p_now >= held_until_)
    {
        expired_ = true;
        must_read_ = true;
    }
    if (in_flight_)
    {
        return std::nullopt;
    }
    if (own_)
    {
        return next_as_holder(p_now);
    }
    if (is_leaving())
    {
        return next_while_leaving(p_now);
    }
    return next_as_follower(p_now, p_unix_s);
}

std::optional<lease_call> lease_keeper::next_as_holder(time_point p_now)
{
    if (must_read_)
    {
        return p_now >= next_read_at_ ? std::optional(send_read(p_now))
                                      : std::nullopt;
    }
    if (p_now < next_write_at_)
    {
        return std::nullopt;
    }
    if (is_leaving())
    {
        return send_release(p_now);
    }
    const bool is_due =
        !is_active() || p_now >= renew_at_ || payload_ != own_->payload_;
    return is_due ? std::optional(send_renewal(p_now)) : std::nullopt;
}

std::optional<lease_call> lease_keeper::next_while_leaving(time_point p_now)
{
    // A takeover that is done after all has to be released.
    std::erase_if(unresolved_, [&](const sent_write& p_write)
                  { return p_write.sent_at_ + options_.lifetime_ <= p_now; });
    if (unresolved_.empty() || p_now < next_read_at_)
    {
        return std::nullopt;
    }
    return send_read(p_now);
}

std::optional<lease_call> lease_keeper::next_as_follower(time_point p_now,
                                                         std::uint64_t p_unix_s)
{
    if (must_read_ || !seen_ || p_now < next_write_at_)
    {
        return p_now >= next_read_at_ ? std::optional(send_read(p_now))
                                      : std::nullopt;
    }
    if (!seen_->record_)
    {
        return send_marker(p_now);
    }
    if (may_take_over(p_now))
    {
        return send_takeover(p_now, p_unix_s);
    }
    return p_now >= next_read_at_ ? std::optional(send_read(p_now))
                                  : std::nullopt;
}

bool lease_keeper::may_take_over(time_point p_now) const
{
    return p_now - seen_->since_ >= options_.lifetime_ ||
           may_take_over_at_once(p_now);
}

bool lease_keeper::may_take_over_at_once(time_point p_now) const
{
    const lease_record& record = *seen_->record_;
    // A released record names its former holder. One that doesn't is a marker
    // in place of a lost record, whose holder may still act.
    const bool is_released = record.holder_.empty() && !record.recent_.empty();
    // A token below a known one shows that the record is older than the last
    // holder, who may still act.
    return is_released && !contains(record.recent_, options_.node_) &&
           record.token_ >= highest_token() &&
           p_now >= no_quick_takeover_until_;
}

lease_call lease_keeper::send(lease_call::kind p_kind, std::uint64_t p_revision,
                              lease_record p_record, time_point p_now)
{
    lease_call call{p_kind, ++last_id_, p_revision, std::move(p_record)};
    in_flight_ = sent_call{call, p_now, false};
    return call;
}

lease_call lease_keeper::send_read(time_point p_now)
{
    return send(lease_call::kind::read, 0, {}, p_now);
}

/// Puts a record without a holder in place of an absent one. Its takeover then
/// depends on a revision; a conditional create can't tell that another node's
/// record was created and removed since this node last read.
lease_call lease_keeper::send_marker(time_point p_now)
{
    lease_record record;
    record.run_ = options_.run_;
    record.token_ = highest_token();
    record.renewals_ = ++last_renewals_;
    record.payload_ = newest_.payload_;
    return send(lease_call::kind::create, 0, std::move(record), p_now);
}

lease_call lease_keeper::send_takeover(time_point p_now, std::uint64_t p_unix_s)
{
    lease_record record = *seen_->record_;
    if (!record.holder_.empty())
    {
        add_recent(record.recent_, record.holder_);
    }
    std::erase(record.recent_, options_.node_);
    record.holder_ = options_.node_;
    record.run_ = options_.run_;
    record.token_ =
        std::max(std::max(record.token_, highest_token()) + 1, p_unix_s);
    // Different for each write, so that a read-back tells which one was done.
    record.renewals_ = ++last_renewals_;
    // After a store reset, a later payload may be known.
    record.payload_ = newest_.payload_;
    return send(lease_call::kind::replace, seen_->revision_, std::move(record),
                p_now);
}

lease_call lease_keeper::send_renewal(time_point p_now)
{
    lease_record record = *own_;
    record.renewals_ = ++last_renewals_;
    record.payload_ = payload_;
    // Earlier holders stopped before the takeover was sent. Names kept longer
    // would delay each later takeover of a released record.
    if (p_now - acquired_at_ >= options_.lifetime_)
    {
        record.recent_.clear();
    }
    return send(lease_call::kind::replace, own_revision_, std::move(record),
                p_now);
}

lease_call lease_keeper::send_release(time_point p_now)
{
    lease_record record = *own_;
    record.holder_.clear();
    record.renewals_ = ++last_renewals_;
    record.payload_ = payload_;
    add_recent(record.recent_, options_.node_);
    may_be_released_ = true;
    return send(lease_call::kind::replace, own_revision_, std::move(record),
                p_now);
}

void lease_keeper::on_answer(std::uint64_t p_id, const lease_answer& p_answer,
                             time_point p_now)
{
    if (!in_flight_ || in_flight_->call_.id_ != p_id)
    {
        return;
    }
    start_waits(p_now);
    const sent_call sent = *std::exchange(in_flight_, std::nullopt);
    if (sent.is_void_)
    {
        must_read_ = true;
        return;
    }
    if (sent.call_.kind_ == lease_call::kind::read)
    {
        on_read_answer(p_answer, p_now);
        return;
    }
    on_write_answer(sent, p_answer, p_now);
}

void lease_keeper::on_read_answer(const lease_answer& p_answer,
                                  time_point p_now)
{
    const bool is_urgent = (own_ && !expired_) || !unresolved_.empty();
    next_read_at_ =
        p_now + (is_urgent ? retry_interval() : options_.poll_interval_);
    if (p_answer.kind_ == lease_answer::kind::found && p_answer.record_)
    {
        on_found(p_answer.revision_, *p_answer.record_, p_now);
    }
    else if (p_answer.kind_ == lease_answer::kind::absent)
    {
        on_absent(p_now);
    }
}

void lease_keeper::on_write_answer(const sent_call& p_sent,
                                   const lease_answer& p_answer,
                                   time_point p_now)
{
    if (p_answer.kind_ == lease_answer::kind::failed)
    {
        next_write_at_ = p_now + retry_interval();
        return;
    }
    const lease_record& record = p_sent.call_.record_;
    const bool is_marker = p_sent.call_.kind_ == lease_call::kind::create;
    if (p_answer.kind_ == lease_answer::kind::written)
    {
        if (is_marker)
        {
            on_found(p_answer.revision_, record, p_now);
            return;
        }
        confirm({record, p_sent.call_.revision_, p_sent.sent_at_},
                p_answer.revision_, p_now);
        return;
    }
    // A conflict may also come from a write that was done and sent again on the
    // way, so it needs the same read-back as an unknown result.
    if (!is_marker)
    {
        unresolved_.push_back(
            {record, p_sent.call_.revision_, p_sent.sent_at_});
    }
    if (unresolved_.size() > max_unresolved)
    {
        unresolved_.erase(unresolved_.begin());
    }
    must_read_ = true;
    next_read_at_ = {};
    if (p_answer.kind_ == lease_answer::kind::unknown)
    {
        next_write_at_ = p_now + retry_interval();
        return;
    }
    on_conflict(p_answer, p_now);
}

void lease_keeper::on_conflict(const lease_answer& p_answer, time_point p_now)
{
    if (p_answer.kind_ == lease_answer::kind::absent)
    {
        on_absent(p_now);
        return;
    }
    if (p_answer.record_ && p_answer.revision_ != 0)
    {
        on_found(p_answer.revision_, *p_answer.record_, p_now);
    }
}

void lease_keeper::on_found(std::uint64_t p_revision,
                            const lease_record& p_record, time_point p_now)
{
    if (p_revision < last_revision_)
    {
        on_store_reset();
        start_waits(p_now);
    }
    last_revision_ = p_revision;
    must_read_ = false;
    remember(p_record);
    if (confirm_unresolved(p_revision, p_record, p_now))
    {
        return;
    }
    if (own_)
    {
        check_ownership(p_revision, p_record, p_now);
    }
    if (!own_)
    {
        observe(p_revision, p_record, p_now);
    }
}

void lease_keeper::on_absent(time_point p_now)
{
    if (own_)
    {
        lose(p_now);
    }
    must_read_ = false;
    unresolved_.clear();
    last_revision_ = 0;
    observe(0, std::nullopt, p_now);
}

bool lease_keeper::confirm_unresolved(std::uint64_t p_revision,
                                      const lease_record& p_record,
                                      time_point p_now)
{
    const auto found =
        std::find_if(unresolved_.begin(), unresolved_.end(),
                     [&](const sent_write& p_write)
                     { return is_same_write(p_write.record_, p_record); });
    if (found == unresolved_.end())
    {
        // The others can't be done any more.
        std::erase_if(unresolved_, [&](const sent_write& p_write)
                      { return p_write.condition_ != p_revision; });
        return false;
    }
    const sent_write write = *found;
    confirm(write, p_revision, p_now);
    return true;
}

void lease_keeper::confirm(const sent_write& p_write, std::uint64_t p_revision,
                           time_point p_now)
{
    const lease_record& record = p_write.record_;
    // Earlier writes now fail by their condition.
    unresolved_.clear();
    last_revision_ = p_revision;
    must_read_ = false;
    remember(record);
    if (record.holder_.empty() || record.token_ < known_token_)
    {
        lose(p_now);
        must_read_ = false;
        observe(p_revision, record, p_now);
        return;
    }
    if (!own_ || own_->token_ != record.token_)
    {
        payload_ = record.payload_;
        acquired_at_ = p_write.sent_at_;
    }
    own_ = record;
    own_revision_ = p_revision;
    seen_.reset();
    // Others count from when they see the write, which is after its sending.
    held_until_ = p_write.sent_at_ + options_.lifetime_;
    renew_at_ = p_write.sent_at_ + options_.renew_interval_;
    must_confirm_ = false;
    may_be_released_ = false;
    expired_ = p_now >= held_until_;
    must_read_ = expired_;
    next_read_at_ = {};
    next_write_at_ = {};
}

void lease_keeper::check_ownership(std::uint64_t p_revision,
                                   const lease_record& p_record,
                                   time_point p_now)
{
    const bool is_own_run = p_record.run_ == options_.run_;
    // After a reset, the other nodes wait for the lifetime. Until then, this
    // node may replace the older record, unless its release may have been done
    // before the reset and another node has taken over.
    const bool is_older = p_record.token_ < own_->token_ ||
                          (p_record.token_ == own_->token_ && is_own_run);
    const bool may_replace =
        is_older && !may_be_released_ && p_now < held_until_;
    const bool is_owner =
        must_confirm_ ? may_replace : is_same_write(p_record, *own_);
    if (!is_owner)
    {
        lose(p_now);
        must_read_ = false;
        return;
    }
    own_revision_ = p_revision;
}

void lease_keeper::observe(std::uint64_t p_revision,
                           const std::optional<lease_record>& p_record,
                           time_point p_now)
{
    next_read_at_ = p_now + options_.poll_interval_;
    const bool is_unchanged =
        seen_ && seen_->revision_ == p_revision && seen_->record_ == p_record;
    if (is_unchanged)
    {
        return;
    }
    // Counted from the answer: the write that it shows was sent before.
    seen_ = sighting{p_revision, p_record, p_now};
}

void lease_keeper::remember(const lease_record& p_record)
{
    last_renewals_ = std::max(last_renewals_, p_record.renewals_);
    if (p_record.token_ > max_token)
    {
        return;
    }
    highest_token_ = std::max(highest_token_, p_record.token_);
    if (is_newer(p_record, newest_))
    {
        newest_ = p_record;
    }
}

void lease_keeper::lose(time_point p_now)
{
    own_.reset();
    payload_.clear();
    must_confirm_ = false;
    may_be_released_ = false;
    expired_ = false;
    must_read_ = true;
    next_read_at_ = {};
    seen_.reset();
    no_quick_takeover_until_ = p_now + options_.lifetime_;
}

duration lease_keeper::retry_interval() const
{
    // Several attempts must fit between a failed renewal and the expiry.
    return options_.renew_interval_ / 4;
}

bool lease_keeper::is_superseded() const
{
    return own_ && own_->token_ < known_token_;
}

bool lease_keeper::is_active() const
{
    return own_ && !expired_ && !must_confirm_ && !may_be_released_ &&
           !is_leaving() && !is_superseded();
}

bool lease_keeper::holds(time_point p_now) const
{
    return is_active() && p_now < held_until_;
}

bool lease_keeper::may_act(time_point p_now) const
{
    return holds(p_now) && p_now + options_.margin_ <= held_until_;
}

time_point lease_keeper::acts_until() const
{
    return is_active() ? held_until_ : time_point{};
}

std::uint64_t lease_keeper::token() const
{
    return is_active() ? own_->token_ : 0;
}

std::uint64_t lease_keeper::highest_token() const
{
    return std::max(known_token_, highest_token_);
}

const std::string& lease_keeper::payload_in_store() const
{
    return is_active() ? own_->payload_ : no_payload;
}

lease_state lease_keeper::state() const
{
    if (own_ && is_leaving())
    {
        return lease_state::releasing;
    }
    if (own_)
    {
        return is_active() ? lease_state::holding : lease_state::confirming;
    }
    if (stopping_)
    {
        return lease_state::stopped;
    }
    if (!candidate_)
    {
        return lease_state::idle;
    }
    const bool is_acquiring =
        !unresolved_.empty() ||
        (in_flight_ && in_flight_->call_.kind_ == lease_call::kind::replace);
    return is_acquiring ? lease_state::acquiring : lease_state::following;
}

} // namespace peridotspar
