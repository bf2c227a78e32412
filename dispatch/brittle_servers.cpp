#include "dispatch/brittle_servers.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

constexpr duration rejection_window = 1s;
/// Share of what a server bears after which no node sends to it.
constexpr double usable_share = 0.5;
/// Share of what a server bears that all nodes together may use to find out
/// whether it has more room.
constexpr double raising_share = 0.25;
constexpr double min_raise_interval_s = 1;
/// What peers report is later than what this node knows only beyond this, as
/// times shift while reports are handed on.
constexpr duration report_tolerance = 100ms;
/// What no response said again for longer is forgotten.
constexpr duration brittle_lifetime = 2min;
constexpr duration ended_report_time = 5s;
/// Bounds of what is kept.
constexpr std::size_t max_servers = 4096;
constexpr std::size_t max_rejections = 64;

} // namespace

void brittle_servers::set(const std::string& p_server,
                          std::optional<double> p_max_rejected_per_s,
                          time_point p_said_at, bool p_said_here)
{
    const auto found = servers_.find(p_server);
    const bool is_known = found != servers_.end();
    if (!p_max_rejected_per_s)
    {
        if (is_known)
        {
            servers_.erase(found);
            ended_[p_server] = {p_said_at, p_said_here};
            has_news_ |= p_said_here;
            log_event(log_level::info, "server.not_brittle")
                .with("server", p_server);
        }
        return;
    }
    if (!is_known && servers_.size() >= max_servers)
    {
        log_event(log_level::warning, "server.brittle_not_kept")
            .with("server", p_server);
        return;
    }
    ended_.erase(p_server);
    auto& known = servers_[p_server];
    known.said_at_ = p_said_at;
    known.said_here_ = p_said_here;
    if (!is_known || known.max_rejected_per_s_ != *p_max_rejected_per_s)
    {
        known.max_rejected_per_s_ = *p_max_rejected_per_s;
        has_news_ |= p_said_here;
        log_event(log_level::info, "server.brittle")
            .with("server", p_server)
            .with("max_rejected_per_s", *p_max_rejected_per_s)
            .with("said_here", p_said_here);
    }
}

void brittle_servers::record_response(
    const std::string& p_server, std::optional<double> p_max_rejected_per_s,
    time_point p_now)
{
    if (p_max_rejected_per_s || servers_.contains(p_server))
    {
        set(p_server, p_max_rejected_per_s, p_now, true);
    }
}

void brittle_servers::record_rejected(const std::string& p_server,
                                      unsigned p_own_requests, time_point p_now)
{
    const auto found = servers_.find(p_server);
    if (found == servers_.end())
    {
        return;
    }
    found->second.rejected_at_.push_back(p_now);
    ++found->second.unreported_;
    found->second.room_ = std::max(1U, p_own_requests);
    found->second.room_found_at_ = p_now;
    has_news_ = true;
}

void brittle_servers::merge(const brittle_report& p_report, time_point p_now)
{
    const auto known = servers_.find(p_report.server_);
    const auto over = ended_.find(p_report.server_);
    const time_point known_at = known != servers_.end() ? known->second.said_at_
                                : over != ended_.end()  ? over->second.said_at_
                                                        : time_point{};
    if (p_report.said_at_ > known_at + report_tolerance)
    {
        set(p_report.server_, p_report.max_rejected_per_s_, p_report.said_at_,
            false);
    }
    const auto found = servers_.find(p_report.server_);
    if (found == servers_.end())
    {
        return;
    }
    auto& rejected_at = found->second.rejected_at_;
    for (unsigned i = 0;
         i < p_report.rejected_ && rejected_at.size() < max_rejections; ++i)
    {
        rejected_at.push_back(p_now);
    }
}

std::size_t brittle_servers::count_rejected(const server& p_server,
                                            time_point p_now)
{
    return static_cast<std::size_t>(std::count_if(
        p_server.rejected_at_.begin(), p_server.rejected_at_.end(),
        [p_now](time_point p_at) { return p_now - p_at < rejection_window; }));
}

bool brittle_servers::may_send(const std::string& p_server,
                               unsigned p_own_requests, time_point p_now) const
{
    const auto found = servers_.find(p_server);
    if (found == servers_.end())
    {
        return true;
    }
    const auto& known = found->second;
    if (known.room_)
    {
        const double raise_interval_s = std::max(
            min_raise_interval_s,
            static_cast<double>(node_count_) /
                (raising_share * std::max(1.0, known.max_rejected_per_s_)));
        const double raised =
            to_seconds(p_now - known.room_found_at_) / raise_interval_s;
        if (p_own_requests >= *known.room_ + std::floor(raised))
        {
            return false;
        }
    }
    return pause(p_server, p_now) == duration::zero();
}

duration brittle_servers::pause(const std::string& p_server,
                                time_point p_now) const
{
    const auto found = servers_.find(p_server);
    if (found == servers_.end())
    {
        return {};
    }
    const auto& known = found->second;
    const std::size_t rejected = count_rejected(known, p_now);
    const bool is_full =
        rejected > 0 && static_cast<double>(rejected) >=
                            usable_share * known.max_rejected_per_s_;
    return is_full ? known.rejected_at_.back() + rejection_window - p_now
                   : duration{};
}

void brittle_servers::tick(time_point p_now)
{
    std::erase_if(servers_,
                  [p_now](const auto& p_item) {
                      return p_now - p_item.second.said_at_ > brittle_lifetime;
                  });
    std::erase_if(ended_,
                  [p_now](const auto& p_item) {
                      return p_now - p_item.second.said_at_ > ended_report_time;
                  });
    for (auto& [key, known] : servers_)
    {
        while (!known.rejected_at_.empty() &&
               p_now - known.rejected_at_.front() >= rejection_window)
        {
            known.rejected_at_.pop_front();
        }
    }
}

std::vector<brittle_report> brittle_servers::take_reports()
{
    std::vector<brittle_report> reports;
    for (auto& [key, known] : servers_)
    {
        if (known.said_here_)
        {
            reports.push_back({key, known.max_rejected_per_s_, known.said_at_,
                               std::exchange(known.unreported_, 0)});
        }
    }
    for (const auto& [key, over] : ended_)
    {
        if (over.said_here_)
        {
            reports.push_back({key, std::nullopt, over.said_at_, 0});
        }
    }
    return reports;
}

bool brittle_servers::take_news()
{
    return std::exchange(has_news_, false);
}

} // namespace peridotspar::dispatch
