#include "store/object_feed.hpp"

#include "core/log.hpp"
#include "platform/object_calls.hpp"

#include <algorithm>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

constexpr int ok = 200;
constexpr int history_gone = 410;
constexpr duration list_limit = 1500ms;
constexpr duration watch_wait = 20s;
/// Beyond the wait that was asked for.
constexpr duration watch_slack = 1500ms;
constexpr duration shortest_pause = 150ms;
constexpr unsigned most_doublings = 2;
constexpr duration gap_after_changes = 150ms;

} // namespace

object_feed::object_feed(backend::buffered_client& p_calls, std::string p_store,
                         std::string p_kind, listener& p_listener,
                         std::uint64_t p_seed)
    : calls_(p_calls),
      store_(std::move(p_store)),
      kind_(std::move(p_kind)),
      listener_(p_listener),
      random_(p_seed)
{
}

void object_feed::set_active(bool p_active)
{
    if (p_active && !active_)
    {
        listed_ = false; // Peers told of changes meanwhile.
    }
    active_ = p_active;
}

void object_feed::tick(time_point p_now)
{
    if (!active_ || calling_ || p_now < next_call_)
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

void object_feed::list()
{
    calling_ = true;
    ++calls_made_;
    const std::string after =
        partial_.objects_.empty() ? "" : partial_.objects_.back().name_;
    calls_.send(store_, platform::list_request(store_, kind_, after, false),
                list_limit,
                [this](const backend::client_response& p_answer)
                {
                    calling_ = false;
                    take_page(p_answer);
                });
}

void object_feed::take_page(const backend::client_response& p_answer)
{
    const auto page = p_answer.status_ == ok
                          ? platform::parse_page(p_answer.body_)
                          : tl::unexpected(std::string("status"));
    if (!page)
    {
        partial_ = {};
        note_failure(p_answer.status_);
        return;
    }
    note_success();
    // Watching from the first page's revision misses no change in between.
    if (partial_.objects_.empty())
    {
        partial_.revision_ = page->revision_;
    }
    partial_.objects_.insert(partial_.objects_.end(), page->objects_.begin(),
                             page->objects_.end());
    if (page->more_ && !page->objects_.empty())
    {
        list();
        return;
    }
    listed_ = true;
    revision_ = partial_.revision_;
    const object_page all = std::exchange(partial_, {});
    listener_.on_list(kind_, all);
}

void object_feed::watch()
{
    calling_ = true;
    ++calls_made_;
    calls_.send(store_,
                platform::watch_request(store_, kind_, revision_, watch_wait),
                watch_wait + watch_slack,
                [this](const backend::client_response& p_answer)
                {
                    calling_ = false;
                    take_changes(p_answer);
                });
}

void object_feed::take_changes(const backend::client_response& p_answer)
{
    if (p_answer.status_ == history_gone)
    {
        note_success();
        listed_ = false;
        return;
    }
    const auto changes = p_answer.status_ == ok
                             ? platform::parse_changes(p_answer.body_)
                             : tl::unexpected(std::string("status"));
    if (!changes)
    {
        note_failure(p_answer.status_);
        return;
    }
    note_success();
    revision_ = std::max(revision_, changes->revision_);
    // Changes come in bursts; the next call takes what comes meanwhile.
    next_call_ = clock_.now() + gap_after_changes;
    listener_.on_changes(kind_, *changes);
}

void object_feed::note_failure(int p_status)
{
    ++failures_;
    const unsigned doublings = std::min(failures_ - 1, most_doublings);
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    next_call_ = clock_.now() +
                 from_seconds(jitter(random_) *
                              to_seconds(shortest_pause * (1U << doublings)));
    if (reached_)
    {
        reached_ = false;
        log_event(log_level::warning, "store.lost")
            .with("kind", kind_)
            .with("status", p_status);
        listener_.on_contact(kind_, false);
    }
}

void object_feed::note_success()
{
    failures_ = 0;
    if (!reached_)
    {
        reached_ = true;
        log_event(log_level::info, "store.regained").with("kind", kind_);
        listener_.on_contact(kind_, true);
    }
}

} // namespace peridotspar
