#include "routing/stream_versions.hpp"

#include <algorithm>
#include <utility>

namespace peridotspar::routing
{

namespace
{

using namespace std::chrono_literals;

/// How long a stream is remembered whose origin came from the store, without
/// the time that its caller has left.
constexpr duration learnt_retention = 60s;

} // namespace

void stream_versions::set_servers(const server_list::entries& p_servers,
                                  time_point p_now)
{
    server_counts_.clear();
    for (const auto& [id, entry] : p_servers)
    {
        if (!entry.leaving_)
        {
            ++server_counts_[entry.service_][entry.version_];
        }
    }
    for (const auto& [service, main] : main_versions_)
    {
        auto& state = minorities_[service];
        const bool is_now = is_minority(service, main.version_);
        if (is_now || state.is_now_)
        {
            state = {is_now, p_now};
        }
    }
}

bool stream_versions::is_minority(const service_name& p_service,
                                  const std::string& p_version) const
{
    const auto counts = server_counts_.find(p_service);
    if (counts == server_counts_.end())
    {
        return true;
    }
    std::size_t all = 0;
    std::size_t own = 0;
    for (const auto& [version, count] : counts->second)
    {
        all += count;
        own += version == p_version ? count : 0;
    }
    return own * 2 < all;
}

bool stream_versions::is_main_version_certain(
    const service_name& p_service) const
{
    const auto state = minorities_.find(p_service);
    return main_version_of(p_service) &&
           (state == minorities_.end() ||
            is_listed_since(state->second.last_seen_));
}

bool stream_versions::is_main(const stream_origin& p_origin) const
{
    return is_main_version_certain(p_origin.service_) &&
           main_version_of(p_origin.service_) == p_origin.version_ &&
           !is_minority(p_origin.service_, p_origin.version_);
}

void stream_versions::record_begin(const std::string& p_attempt,
                                   const stream_origin& p_origin,
                                   bool p_single_service,
                                   time_point p_expires_at, time_point p_now)
{
    auto& known = streams_[p_attempt];
    const auto main = main_versions_.find(p_origin.service_);
    const duration limit = main == main_versions_.end()
                               ? duration::zero()
                               : main->second.unrecorded_time_;
    const bool is_too_long =
        limit > duration::zero() && p_expires_at - p_now > limit;
    // An earlier send's record must not outlive a send elsewhere.
    const bool needs_record = known.record_ > 0 || !p_single_service ||
                              is_too_long || !is_main(p_origin);
    known.known_ = {p_origin, p_now, false};
    known.expires_at_ = p_expires_at;
    known.record_ = needs_record ? ++last_record_ : 0;
}

bool stream_versions::is_durable(const std::string& p_attempt) const
{
    const auto found = streams_.find(p_attempt);
    return found != streams_.end() && found->second.record_ <= saved_;
}

std::optional<known_origin>
stream_versions::find(const std::string& p_attempt) const
{
    const auto found = streams_.find(p_attempt);
    if (found == streams_.end())
    {
        return std::nullopt;
    }
    return found->second.known_;
}

void stream_versions::expire(time_point p_now)
{
    std::erase_if(streams_, [p_now](const auto& p_item)
                  { return p_item.second.expires_at_ <= p_now; });
}

void stream_versions::learn(const stream_origins& p_stored,
                            time_point p_asked_at, time_point p_now)
{
    listed_at_ = std::max(listed_at_.value_or(p_asked_at), p_asked_at);
    main_versions_ = p_stored.main_versions_;
    list_is_whole_ = p_stored.is_whole_;
    for (const auto& [attempt, origin] : p_stored.streams_)
    {
        auto& stream = streams_[attempt];
        // What this node knows itself is newer.
        if (stream.known_.from_store_ ||
            stream.known_.origin_ == stream_origin{})
        {
            stream = {{origin, p_now, true}, p_now + learnt_retention, 0};
        }
    }
}

bool stream_versions::take_list_request()
{
    return std::exchange(list_requested_, false);
}

std::optional<std::string>
stream_versions::main_version_of(const service_name& p_service) const
{
    const auto found = main_versions_.find(p_service);
    if (found == main_versions_.end() || found->second.version_.empty())
    {
        return std::nullopt;
    }
    return found->second.version_;
}

std::map<std::string, stream_origin> stream_versions::records() const
{
    std::map<std::string, stream_origin> records;
    for (const auto& [attempt, known] : streams_)
    {
        if (known.record_ > 0)
        {
            records.emplace(attempt, known.known_.origin_);
        }
    }
    return records;
}

void stream_versions::set_saved(std::uint64_t p_record)
{
    saved_ = std::max(saved_, p_record);
}

} // namespace peridotspar::routing
