#include "daemon/stream_version_sync.hpp"

#include "core/log.hpp"
#include "platform/names.hpp"
#include "platform/object_calls.hpp"
#include "platform/stream_documents.hpp"

#include <algorithm>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

constexpr int ok = 200;
constexpr int created = 201;
constexpr duration call_timeout = 400ms;
/// Records are written together this often, so that one is in the store before
/// a server has read a prompt.
constexpr duration save_interval = 60ms;
constexpr duration min_list_interval = 50ms;
/// Base of the exponential backoff after a failed list.
constexpr duration min_retry_delay = 200ms;
constexpr unsigned max_doublings = 4;
/// Nodes that start together spread their first lists over this time.
constexpr duration first_list_spread = 300ms;
/// A list that takes longer ends without its last streams.
constexpr duration max_list_time = 10s;
/// A long list is asked for more rarely, to spare the links.
constexpr double list_bytes_per_s = 500'000;
/// Interval at which a node looks whether a service has a main version again.
constexpr duration min_poll_interval = 3s;
constexpr duration max_poll_interval = 5s;
/// Most streams end within this many times their route's timeout, as a caller
/// may wait for longer than a route lets one attempt last; the others are
/// recorded. A short timeout says little of the time that callers wait.
constexpr int unrecorded_timeouts = 2;
constexpr duration min_unrecorded_time = 20s;
/// Streams of a route without a timeout.
constexpr duration default_timeout = 60s;
/// The streams of a node that hasn't written them for this long are deleted.
constexpr duration max_object_age = 180s;

bool is_success(const backend::client_response& p_response)
{
    return p_response.status_ == ok || p_response.status_ == created;
}

} // namespace

stream_version_sync::stream_version_sync(backend::buffered_client& p_client,
                                         routing::stream_versions& p_versions,
                                         options p_options)
    : client_(p_client),
      versions_(p_versions),
      options_(std::move(p_options)),
      own_name_(platform::streams_name(options_.peer_address_, unix_ms())),
      policy_(options_.first_start_),
      random_(options_.seed_),
      cursor_(max_list_time)
{
    std::uniform_real_distribution<double> wait(0,
                                                to_seconds(first_list_spread));
    next_poll_ = clock_.now() + from_seconds(wait(random_));
}

void stream_version_sync::send(
    std::string p_request,
    void (stream_version_sync::*p_handle)(const backend::client_response&))
{
    ++request_count_;
    client_.send(options_.store_address_, std::move(p_request), call_timeout,
                 [this, p_handle](const backend::client_response& p_response)
                 { (this->*p_handle)(p_response); });
}

void stream_version_sync::read_unrecorded_times(
    const routing::route_table* p_routes)
{
    if (p_routes == nullptr || p_routes->version() == config_version_)
    {
        return;
    }
    config_version_ = p_routes->version();
    unrecorded_times_.clear();
    p_routes->for_each_route(
        [this](const routing::route& p_route)
        {
            if (p_route.resend_mode_ != routing::resend_mode::resume)
            {
                return;
            }
            const duration timeout = p_route.timeout_ > duration::zero()
                                         ? p_route.timeout_
                                         : default_timeout;
            for (const auto& share : p_route.services_)
            {
                auto& time = unrecorded_times_[share.service_];
                time = std::max(
                    {time, timeout * unrecorded_timeouts, min_unrecorded_time});
            }
        });
}

duration stream_version_sync::unrecorded_time(
    const routing::service_name& p_service) const
{
    const auto found = unrecorded_times_.find(p_service);
    return found == unrecorded_times_.end() ? duration{} : found->second;
}

bool stream_version_sync::lacks_main_version() const
{
    return std::any_of(
        unrecorded_times_.begin(), unrecorded_times_.end(),
        [this](const auto& p_item)
        { return !versions_.is_main_version_certain(p_item.first); });
}

void stream_version_sync::tick(const routing::route_table* p_routes,
                               bool p_follows_store, time_point p_now)
{
    read_unrecorded_times(p_routes);
    versions_.expire(p_now);
    list_wanted_ = versions_.take_list_request() || list_wanted_;
    list_if_due(lacks_main_version(), p_now);
    save_if_due(p_now);
    if (p_follows_store && !writing_ &&
        versions_.is_listed_since(main_written_at_))
    {
        update_main_versions(p_now);
        delete_old_streams(p_now);
    }
}

void stream_version_sync::list_if_due(bool p_may_poll, time_point p_now)
{
    const bool poll = p_may_poll && p_now >= next_poll_;
    if (listing_ || p_now < next_list_ ||
        !(poll || list_wanted_ || !own_revision_))
    {
        return;
    }
    std::uniform_real_distribution<double> wait(to_seconds(min_poll_interval),
                                                to_seconds(max_poll_interval));
    next_poll_ = p_now + from_seconds(wait(random_));
    listing_ = true;
    list_wanted_ = false;
    list_asked_at_ = p_now;
    partial_list_ = {};
    partial_objects_.clear();
    list_bytes_ = 0;
    cursor_.restart(p_now);
    list();
}

void stream_version_sync::list()
{
    send(platform::list_request(options_.store_address_,
                                platform::names::streams_kind, cursor_.after(),
                                false),
         &stream_version_sync::handle_page);
}

void stream_version_sync::handle_page(
    const backend::client_response& p_response)
{
    const auto page = p_response.status_ == ok
                          ? platform::parse_page(p_response.body_)
                          : tl::unexpected(std::string("status"));
    list_bytes_ += p_response.body_.size();
    next_list_ =
        clock_.now() + std::max(min_list_interval,
                                from_seconds(static_cast<double>(list_bytes_) /
                                             list_bytes_per_s));
    if (!page)
    {
        log_event(log_level::warning, "streams.list_failed")
            .with("status", p_response.status_)
            .with("error", page.error());
        listing_ = false;
        list_wanted_ = true;
        delay_next_list();
        return;
    }
    check_era(platform::parse_store_era(p_response.headers_));
    for (const auto& object : page->objects_)
    {
        platform::parse_stream_object(object, partial_list_);
        partial_objects_[object.name_] = object.revision_;
    }
    const list_cursor::end end = cursor_.add(*page, clock_.now());
    if (end == list_cursor::end::none)
    {
        list();
        return;
    }
    finish_list(end);
}

void stream_version_sync::delay_next_list()
{
    const unsigned doublings = std::min(list_failures_++, max_doublings);
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    const double delay_s =
        jitter(random_) * to_seconds(min_retry_delay * (1U << doublings));
    next_list_ = std::max(next_list_, clock_.now() + from_seconds(delay_s));
}

void stream_version_sync::check_era(std::uint64_t p_era)
{
    if (era_ && *era_ != p_era)
    {
        // The store came back from an older copy, which lacks what was written
        // since.
        versions_.set_unsaved();
        own_revision_.reset();
        policy_.restart_pauses();
    }
    era_ = p_era;
}

void stream_version_sync::finish_list(list_cursor::end p_end)
{
    listing_ = false;
    // What isn't listed isn't known to be absent.
    partial_list_.is_whole_ = partial_list_.is_whole_ && cursor_.gaps().empty();
    const time_point now = clock_.now();
    versions_.learn(partial_list_, list_asked_at_, now);
    std::map<std::string, listed_object> objects;
    for (const auto& [name, revision] : partial_objects_)
    {
        const auto known = objects_.find(name);
        const bool unchanged =
            known != objects_.end() && known->second.revision_ == revision;
        objects[name] = {revision,
                         unchanged ? known->second.unchanged_since_ : now};
    }
    objects_ = std::move(objects);
    if (!own_revision_)
    {
        const auto own = objects_.find(own_name_);
        own_revision_ = own == objects_.end() ? 0 : own->second.revision_;
    }
    log_event(log_level::info, "streams.listed")
        .with("end", to_string(p_end))
        .with("pages", cursor_.pages())
        .with("gaps", cursor_.gaps().size())
        .with("objects", objects_.size())
        .with("streams", partial_list_.streams_.size())
        .with("bytes", list_bytes_)
        .with("after_ms", to_ms(now - list_asked_at_));
}

void stream_version_sync::save_if_due(time_point p_now)
{
    if (writing_ || !own_revision_ || !versions_.has_unsaved() ||
        p_now < next_save_)
    {
        return;
    }
    next_save_ = p_now + save_interval;
    writing_ = true;
    saving_ = versions_.last_record();
    const std::string document = platform::format_streams(versions_.records());
    const auto kind = platform::names::streams_kind;
    send(*own_revision_ == 0
             ? platform::create_request(options_.store_address_, kind,
                                        own_name_, document)
             : platform::replace_request(options_.store_address_, kind,
                                         own_name_, *own_revision_, document),
         &stream_version_sync::handle_saved);
}

void stream_version_sync::handle_saved(
    const backend::client_response& p_response)
{
    writing_ = false;
    const auto written = is_success(p_response)
                             ? platform::parse_object(p_response.body_)
                             : tl::unexpected(std::string("status"));
    if (written && written->revision_ > 0)
    {
        versions_.set_store_failing(false);
        own_revision_ = written->revision_;
        versions_.set_saved(saving_);
        return;
    }
    versions_.set_store_failing(p_response.status_ == 0);
    // It may have taken effect, or take effect later.
    own_revision_.reset();
    log_event(log_level::warning, "streams.not_saved")
        .with("status", p_response.status_)
        .with("record", saving_);
}

void stream_version_sync::update_main_versions(time_point p_now)
{
    for (const auto& [service, counts] : versions_.server_counts())
    {
        const auto& known = versions_.main_versions();
        const auto stored = known.find(service);
        const auto* state = stored == known.end() ? nullptr : &stored->second;
        const auto wanted = policy_.decide(service, counts, state,
                                           unrecorded_time(service), p_now);
        if (!wanted)
        {
            continue;
        }
        log_event(log_level::info, "streams.main_version")
            .with("service", service.value())
            .with("before", state == nullptr ? "" : state->version_)
            .with("version", wanted->version_)
            .with("unrecorded_ms", to_ms(wanted->unrecorded_time_));
        const std::string name = platform::main_version_name(service);
        const std::string document = platform::format_main_version(
            service, wanted->version_, wanted->unrecorded_time_);
        const auto kind = platform::names::streams_kind;
        writing_ = true;
        send(state == nullptr
                 ? platform::create_request(options_.store_address_, kind, name,
                                            document)
                 : platform::replace_request(options_.store_address_, kind,
                                             name, state->revision_, document),
             &stream_version_sync::handle_main_version);
        return;
    }
}

void stream_version_sync::handle_main_version(
    const backend::client_response& p_response)
{
    writing_ = false;
    if (!is_success(p_response))
    {
        log_event(log_level::info, "streams.main_version_not_written")
            .with("status", p_response.status_);
    }
    // What is in force is in the list, whoever wrote it.
    list_wanted_ = true;
    main_written_at_ = clock_.now();
}

void stream_version_sync::delete_old_streams(time_point p_now)
{
    for (const auto& [name, object] : objects_)
    {
        const bool is_old = platform::is_streams_name(name) &&
                            name != own_name_ &&
                            p_now - object.unchanged_since_ > max_object_age;
        if (!is_old)
        {
            continue;
        }
        log_event(log_level::info, "streams.deleted").with("object", name);
        ++request_count_;
        client_.send(options_.store_address_,
                     platform::delete_request(options_.store_address_,
                                              platform::names::streams_kind,
                                              name),
                     call_timeout, [](const backend::client_response&) {});
        objects_.erase(name);
        return;
    }
}

} // namespace peridotspar
