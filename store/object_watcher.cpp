#include "store/object_watcher.hpp"

#include "core/log.hpp"
#include "platform/object_calls.hpp"

#include <algorithm>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

constexpr int http_ok = 200;
constexpr int http_gone = 410;
constexpr int http_too_many = 429;
/// How long the store waits for a change if the caller sets nothing else.
constexpr duration default_watch_wait = 20s;
/// Wait of a watch that only asks for the changes so far.
constexpr duration check_wait = 1ms;
/// Time allowed for a response to begin, beyond the wait of a watch. Doubled
/// when it isn't kept, as the store may be slow, and halved while responses
/// come in a quarter of it.
constexpr duration min_response_time = 400ms;
constexpr duration max_response_time = 1600ms;
constexpr duration min_list_response_time = 800ms;
/// Base of the exponential backoff after failed requests.
constexpr duration min_retry_delay = 150ms;
constexpr unsigned max_doublings = 2;
/// Delay before the next watch request, so that a burst of changes is fetched
/// with few requests.
constexpr duration watch_delay_after_changes = 150ms;
/// Delay after this many responses with changes, each within `quiet_time` of
/// the last. Servers that register one by one make such bursts.
constexpr unsigned long_burst = 10;
constexpr duration watch_delay_in_long_burst = 400ms;
constexpr duration quiet_time = 1s;

} // namespace

object_watcher::object_watcher(backend::buffered_client& p_client,
                               std::string p_store_address, std::string p_kind,
                               listener& p_listener, std::uint64_t p_seed)
    : client_(p_client),
      store_address_(std::move(p_store_address)),
      kind_(std::move(p_kind)),
      listener_(p_listener),
      random_(p_seed),
      watch_wait_(default_watch_wait),
      response_time_(min_response_time)
{
}

void object_watcher::set_active(bool p_active)
{
    if (p_active && !active_)
    {
        // Changes during the pause came from peers, unless the last watch still
        // waits for them.
        listed_ = listed_ && request_pending_;
        consecutive_failures_ = 0;
        next_request_at_ = {};
    }
    active_ = p_active;
}

void object_watcher::check_now()
{
    if (!active_ || !listed_ ||
        (request_pending_ && current_wait_ == check_wait))
    {
        return;
    }
    if (std::exchange(request_pending_, false))
    {
        client_.cancel(call_);
    }
    check_due_ = true;
    next_request_at_ = {};
}

void object_watcher::tick(time_point p_now)
{
    if (!active_ || request_pending_ || p_now < next_request_at_)
    {
        return;
    }
    if (listed_)
    {
        watch();
    }
    else
    {
        list();
    }
}

void object_watcher::list()
{
    current_wait_ = {};
    const std::string after = partial_list_.objects_.empty()
                                  ? ""
                                  : partial_list_.objects_.back().name_;
    send(platform::list_request(store_address_, kind_, after, false),
         std::max(response_time_, min_list_response_time),
         &object_watcher::handle_page);
}

void object_watcher::send(
    std::string p_request, duration p_timeout,
    void (object_watcher::*p_handle)(const backend::client_response&))
{
    request_pending_ = true;
    ++request_count_;
    sent_at_ = clock_.now();
    call_ = client_.send(
        store_address_, std::move(p_request), p_timeout,
        [this, p_handle](const backend::client_response& p_response)
        {
            request_pending_ = false;
            (this->*p_handle)(p_response);
        });
}

void object_watcher::handle_page(const backend::client_response& p_response)
{
    const auto page = p_response.status_ == http_ok
                          ? platform::parse_page(p_response.body_)
                          : tl::unexpected(std::string("status"));
    if (!page)
    {
        partial_list_ = {};
        record_failure(p_response.status_);
        return;
    }
    record_success();
    if (!is_same_era(p_response) && !partial_list_.objects_.empty())
    {
        partial_list_ = {};
        return;
    }
    // Watching starts from the revision of the first page, so that no change
    // made between two pages is missed.
    if (partial_list_.objects_.empty())
    {
        partial_list_.revision_ = page->revision_;
    }
    partial_list_.objects_.insert(partial_list_.objects_.end(),
                                  page->objects_.begin(), page->objects_.end());
    if (page->has_more_ && !page->objects_.empty())
    {
        list();
        return;
    }
    listed_ = true;
    revision_ = partial_list_.revision_;
    object_page full_list = std::exchange(partial_list_, {});
    full_list.revision_ = revision_in_era(era_, full_list.revision_);
    listener_.on_list(kind_, full_list);
}

void object_watcher::watch()
{
    // Without contact the question is whether the store responds at all.
    const bool is_check = std::exchange(check_due_, false) || !reachable_;
    current_wait_ = is_check ? check_wait : watch_wait_;
    send(platform::watch_request(store_address_, kind_, revision_,
                                 current_wait_),
         current_wait_ + response_time_, &object_watcher::handle_changes);
}

void object_watcher::handle_changes(const backend::client_response& p_response)
{
    if (p_response.status_ == http_gone)
    {
        record_success();
        listed_ = false;
        return;
    }
    auto changes = p_response.status_ == http_ok
                       ? platform::parse_changes(p_response.body_)
                       : tl::unexpected(std::string("status"));
    if (!changes)
    {
        record_failure(p_response.status_);
        return;
    }
    adapt_response_time();
    record_success();
    if (!is_same_era(p_response))
    {
        return;
    }
    revision_ = std::max(revision_, changes->revision_);
    const time_point now = clock_.now();
    changes->revision_ = revision_in_era(era_, changes->revision_);
    if (changes->changes_.empty() && now - sent_at_ >= current_wait_)
    {
        listener_.on_changes(kind_, *changes);
        return;
    }
    // Changes come in bursts; the next request fetches those made meanwhile.
    burst_length_ = now - last_changes_at_ < quiet_time ? burst_length_ + 1 : 0;
    last_changes_at_ = now;
    next_request_at_ =
        now + (burst_length_ < long_burst ? watch_delay_after_changes
                                          : watch_delay_in_long_burst);
    listener_.on_changes(kind_, *changes);
}

bool object_watcher::is_same_era(const backend::client_response& p_response)
{
    const std::uint64_t era = platform::parse_store_era(p_response.headers_);
    if (era == era_)
    {
        return true;
    }
    const bool is_first = !listed_ && revision_ == 0;
    if (!is_first)
    {
        log_event(log_level::warning, "store.era_changed")
            .with("kind", kind_)
            .with("era", era)
            .with("before", era_);
        listener_.on_era_changed(kind_);
    }
    era_ = era;
    listed_ = false;
    next_request_at_ = {};
    return false;
}

void object_watcher::adapt_response_time()
{
    const duration taken = clock_.now() - sent_at_ - current_wait_;
    // A watch that ends early with a change says nothing of the response time.
    if (taken >= duration::zero() && taken * 4 < response_time_)
    {
        response_time_ = std::max(min_response_time, response_time_ / 2);
    }
}

void object_watcher::record_failure(int p_status)
{
    const duration taken = clock_.now() - sent_at_;
    if (p_status == 0 && taken >= current_wait_ + response_time_)
    {
        response_time_ = std::min(max_response_time, response_time_ * 2);
    }
    const bool was_waiting = p_status == 0 && current_wait_ > check_wait;
    if (!was_waiting && p_status != http_too_many)
    {
        last_failure_at_ = clock_.now();
    }
    ++consecutive_failures_;
    const unsigned doublings =
        std::min(consecutive_failures_ - 1, max_doublings);
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    next_request_at_ =
        clock_.now() +
        from_seconds(jitter(random_) *
                     to_seconds(min_retry_delay * (1U << doublings)));
    if (reachable_)
    {
        reachable_ = false;
        log_event(log_level::warning, "store.lost")
            .with("kind", kind_)
            .with("status", p_status)
            .with("waited_ms", to_ms(taken))
            .with("watch_ms", to_ms(current_wait_))
            .with("revision", revision_)
            .with("response_age_ms", to_ms(clock_.now() - last_response_at_));
        listener_.on_contact_changed(kind_, false);
    }
}

void object_watcher::record_success()
{
    consecutive_failures_ = 0;
    last_response_at_ = clock_.now();
    if (!reachable_)
    {
        reachable_ = true;
        log_event(log_level::info, "store.regained")
            .with("kind", kind_)
            .with("revision", revision_);
        listener_.on_contact_changed(kind_, true);
    }
}

} // namespace peridotspar
