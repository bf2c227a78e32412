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
/// Half of the time for which the store usually keeps its history: a watch
/// continues from the list's first page.
constexpr duration max_list_time = 10s;
/// Pages after this many are asked for with a pause, to spare the store.
constexpr unsigned max_unpaced_pages = 16;
constexpr duration page_delay = 20ms;
/// More than this of names and documents isn't kept of a list.
constexpr std::size_t max_list_bytes = 8U << 20U;
/// A list that ended without all objects is repeated after this time, or after
/// this many times of what it took: there is no watch while it lasts.
constexpr duration incomplete_list_interval = 30s;
constexpr int pauses_per_incomplete_list = 20;

} // namespace

object_watcher::object_watcher(backend::buffered_client& p_client,
                               options p_options, listener& p_listener)
    : client_(p_client),
      options_(std::move(p_options)),
      listener_(p_listener),
      random_(options_.seed_),
      cursor_(max_list_time),
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
        listing_ = listing_ && request_pending_;
        consecutive_failures_ = 0;
        next_request_at_ = {};
    }
    active_ = p_active;
}

bool object_watcher::interrupt_watch()
{
    if (!active_ || !listed_ ||
        (request_pending_ && current_wait_ <= check_wait))
    {
        return false;
    }
    if (std::exchange(request_pending_, false))
    {
        client_.cancel(call_);
    }
    next_request_at_ = {};
    return true;
}

void object_watcher::check_now()
{
    check_due_ = interrupt_watch() || check_due_;
}

void object_watcher::list_now()
{
    if (interrupt_watch())
    {
        next_list_ = clock_.now();
    }
}

void object_watcher::tick(time_point p_now)
{
    if (!active_ || request_pending_ || p_now < next_request_at_)
    {
        return;
    }
    if (listing_)
    {
        list_page();
    }
    else if (!listed_ || (next_list_ && p_now >= *next_list_))
    {
        list();
    }
    else
    {
        watch();
    }
}

void object_watcher::list()
{
    partial_list_ = {};
    partial_bytes_ = 0;
    unwanted_ = 0;
    list_begun_at_ = clock_.now();
    if (next_list_)
    {
        next_list_ = list_begun_at_ + incomplete_list_interval;
    }
    cursor_.restart(list_begun_at_);
    list_page();
}

void object_watcher::list_page()
{
    current_wait_ = {};
    send(platform::list_request(options_.store_address_, options_.kind_,
                                cursor_.after(), false),
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
        options_.store_address_, std::move(p_request), p_timeout,
        [this, p_handle](const backend::client_response& p_response)
        {
            request_pending_ = false;
            (this->*p_handle)(p_response);
        });
}

void object_watcher::handle_page(const backend::client_response& p_response)
{
    auto page = p_response.status_ == http_ok
                    ? platform::parse_page(p_response.body_)
                    : tl::unexpected(std::string("status"));
    const bool is_first = !std::exchange(listing_, false);
    if (!page)
    {
        record_failure(p_response.status_);
        return;
    }
    if (is_outdated(p_response))
    {
        return;
    }
    record_success();
    if (!is_same_era(p_response) && !is_first)
    {
        return;
    }
    // Watching starts from the revision of the first page, so that no change
    // made between two pages is missed.
    if (is_first)
    {
        partial_list_.revision_ = page->revision_;
    }
    list_cursor::end end = cursor_.add(*page, clock_.now());
    if (!keep(*page) && end == list_cursor::end::none)
    {
        end = cursor_.stop_as_too_large();
    }
    if (end != list_cursor::end::none)
    {
        finish_list(end);
        return;
    }
    listing_ = true;
    if (active_ && cursor_.pages() < max_unpaced_pages)
    {
        list_page();
        return;
    }
    next_request_at_ = clock_.now() + page_delay;
}

bool object_watcher::keep(object_page& r_page)
{
    for (object_record& object : r_page.objects_)
    {
        if (!options_.is_wanted_(object))
        {
            ++unwanted_;
            continue;
        }
        partial_bytes_ += object.name_.size() + object.document_.size();
        partial_list_.objects_.push_back(std::move(object));
    }
    return partial_bytes_ <= max_list_bytes;
}

void object_watcher::finish_list(list_cursor::end p_end)
{
    const bool is_complete = p_end == list_cursor::end::complete;
    log_event(is_complete ? log_level::info : log_level::warning,
              "store.listed")
        .with("kind", options_.kind_)
        .with("end", to_string(p_end))
        .with("pages", cursor_.pages())
        .with("objects", partial_list_.objects_.size())
        .with("unwanted", unwanted_)
        .with("bytes", partial_bytes_)
        .with("gaps", cursor_.gaps().size())
        .with("revision", partial_list_.revision_);
    const time_point now = clock_.now();
    next_list_.reset();
    if (!is_complete)
    {
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        const duration interval =
            std::max(incomplete_list_interval,
                     (now - list_begun_at_) * pauses_per_incomplete_list);
        next_list_ = now + from_seconds(jitter(random_) * to_seconds(interval));
    }
    listed_ = true;
    revision_ = partial_list_.revision_;
    object_list list = std::exchange(partial_list_, {});
    list.revision_ = revision_in_era(era_, list.revision_);
    list.gaps_ = cursor_.gaps();
    listener_.on_list(options_.kind_, list);
}

void object_watcher::watch()
{
    // Without contact the question is whether the store responds at all.
    const bool is_check = std::exchange(check_due_, false) || !reachable_;
    current_wait_ = is_check ? check_wait : watch_wait_;
    send(platform::watch_request(options_.store_address_, options_.kind_,
                                 revision_, current_wait_),
         current_wait_ + response_time_, &object_watcher::handle_changes);
}

void object_watcher::handle_changes(const backend::client_response& p_response)
{
    // Changes that are too many for one response are read page by page.
    if (p_response.status_ == http_gone || p_response.too_large_)
    {
        record_success();
        listed_ = false;
        return;
    }
    if (p_response.status_ != http_ok)
    {
        record_failure(p_response.status_);
        return;
    }
    auto changes = platform::parse_changes(p_response.body_);
    if (!changes)
    {
        list_instead_of(changes.error());
        return;
    }
    if (is_outdated(p_response))
    {
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
        listener_.on_changes(options_.kind_, *changes);
        return;
    }
    delay_after_changes(now);
    listener_.on_changes(options_.kind_, *changes);
}

void object_watcher::list_instead_of(const std::string& p_error)
{
    log_event(log_level::warning, "store.changes_unreadable")
        .with("kind", options_.kind_)
        .with("revision", revision_)
        .with("error", p_error);
    record_success();
    listed_ = false;
    delay_after_changes(clock_.now());
}

void object_watcher::delay_after_changes(time_point p_now)
{
    // Changes come in bursts; the next request fetches those made meanwhile.
    burst_length_ =
        p_now - last_changes_at_ < quiet_time ? burst_length_ + 1 : 0;
    last_changes_at_ = p_now;
    next_request_at_ =
        p_now + (burst_length_ < long_burst ? watch_delay_after_changes
                                            : watch_delay_in_long_burst);
}

bool object_watcher::is_outdated(const backend::client_response& p_response)
{
    const std::uint64_t era = platform::parse_store_era(p_response.headers_);
    if (era >= era_)
    {
        return false;
    }
    log_event(log_level::warning, "store.era_outdated")
        .with("kind", options_.kind_)
        .with("era", era)
        .with("known", era_);
    next_request_at_ = clock_.now() + min_retry_delay;
    return true;
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
            .with("kind", options_.kind_)
            .with("era", era)
            .with("before", era_);
        listener_.on_era_changed(options_.kind_);
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
            .with("kind", options_.kind_)
            .with("status", p_status)
            .with("waited_ms", to_ms(taken))
            .with("watch_ms", to_ms(current_wait_))
            .with("revision", revision_)
            .with("response_age_ms", to_ms(clock_.now() - last_response_at_));
        listener_.on_contact_changed(options_.kind_, false);
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
            .with("kind", options_.kind_)
            .with("revision", revision_);
        listener_.on_contact_changed(options_.kind_, true);
    }
}

} // namespace peridotspar
