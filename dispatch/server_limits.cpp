#include "dispatch/server_limits.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// A permit that isn't used in this time is lost.
constexpr duration permit_lifetime = 500ms;
/// A request for a permit counts for this long, and is repeated meanwhile.
constexpr duration request_lifetime = 300ms;
constexpr duration request_interval = 100ms;
/// The home saves up the permits of this time, and one at least.
constexpr duration saved_time = 100ms;
/// How long a limit that is no longer named is raised before it ends.
constexpr duration lifting_time = 5s;
/// What peers report is later than what this node knows only beyond this, as
/// times shift while reports are handed on.
constexpr duration report_tolerance = 100ms;
/// A limit that no response named for longer is dropped.
constexpr duration limit_lifetime = 10min;
/// Bound of the limits that are kept.
constexpr std::size_t max_limits = 4096;
/// Limits below this are kept as this one, so that the server goes on
/// answering and can say that the limit ended.
constexpr double min_per_s = 0.05;

std::uint64_t weight_of(const std::string& p_server, const std::string& p_node)
{
    return XXH64(p_node.data(), p_node.size(),
                 XXH64(p_server.data(), p_server.size(), 0));
}

} // namespace

void server_limits::set_nodes(std::string p_self,
                              std::vector<std::string> p_others)
{
    self_ = std::move(p_self);
    others_ = std::move(p_others);
    for (auto& [server, known] : limits_)
    {
        std::string home = find_home(server);
        if (home != known.home_)
        {
            // The home before may have issued permits until now.
            known.saved_permits_ = 0;
            known.home_ = std::move(home);
            known.asking_.clear();
        }
    }
}

std::string server_limits::find_home(const std::string& p_server) const
{
    const std::string* home = &self_;
    std::uint64_t best = weight_of(p_server, self_);
    for (const std::string& node : others_)
    {
        if (const auto weight = weight_of(p_server, node); weight > best)
        {
            best = weight;
            home = &node;
        }
    }
    return *home;
}

double server_limits::rate_of(const limit& p_limit, time_point p_now)
{
    if (!p_limit.lifted_since_)
    {
        return p_limit.named_per_s_;
    }
    const double lifting_s = to_seconds(p_now - *p_limit.lifted_since_);
    return p_limit.named_per_s_ * std::exp2(std::max(0.0, lifting_s));
}

bool server_limits::is_over(const limit& p_limit, time_point p_now)
{
    return (p_limit.lifted_since_ &&
            p_now - *p_limit.lifted_since_ > lifting_time) ||
           p_now - p_limit.said_at_ > limit_lifetime;
}

void server_limits::record_response(const std::string& p_server,
                                    std::optional<double> p_per_s,
                                    time_point p_now)
{
    if (p_per_s || limits_.contains(p_server))
    {
        set({p_server, p_per_s, p_now}, true, p_now);
    }
}

void server_limits::merge(const limit_report& p_report, time_point p_now)
{
    const auto found = limits_.find(p_report.server_);
    const bool is_known = found != limits_.end();
    const bool is_new = !is_known && p_report.per_s_;
    const bool is_later =
        is_known &&
        p_report.said_at_ > found->second.said_at_ + report_tolerance;
    if (is_new || is_later)
    {
        const bool had_news = has_news_;
        set(p_report, false, p_now);
        has_news_ = had_news; // The peer reports it to the others itself.
    }
}

void server_limits::set(const limit_report& p_said, bool p_said_here,
                        time_point p_now)
{
    const bool is_new = !limits_.contains(p_said.server_);
    if (is_new && limits_.size() >= max_limits)
    {
        log_event(log_level::warning, "limit.not_kept")
            .with("server", p_said.server_);
        return;
    }
    limit& known = limits_[p_said.server_];
    known.said_at_ = p_said.said_at_;
    known.said_here_ = p_said_here;
    if (is_new)
    {
        known.home_ = find_home(p_said.server_);
        known.issued_until_ = p_now;
    }
    if (!p_said.per_s_)
    {
        if (!known.lifted_since_)
        {
            known.lifted_since_ = p_now;
            has_news_ = true;
            log_event(log_level::info, "limit.lifted")
                .with("server", p_said.server_);
        }
        return;
    }
    const double named = std::max(*p_said.per_s_, min_per_s);
    const bool is_changed = known.lifted_since_ || known.named_per_s_ != named;
    known.named_per_s_ = named;
    known.lifted_since_.reset();
    if (is_changed)
    {
        has_news_ = true;
        log_event(log_level::info, "limit.named")
            .with("server", p_said.server_)
            .with("per_s", named)
            .with("home", known.home_);
    }
}

bool server_limits::may_send(const std::string& p_server,
                             time_point p_now) const
{
    const auto found = limits_.find(p_server);
    return found == limits_.end() ||
           (found->second.permits_ > 0 && p_now < found->second.permits_until_);
}

void server_limits::request_permit(const std::string& p_server,
                                   unsigned p_priority, time_point p_now)
{
    const auto found = limits_.find(p_server);
    if (found == limits_.end())
    {
        return;
    }
    limit& known = found->second;
    const bool is_wanted =
        known.wanted_at_ && p_now - *known.wanted_at_ < request_interval;
    known.wanted_priority_ =
        is_wanted ? std::min(known.wanted_priority_, p_priority) : p_priority;
    known.wanted_at_ = p_now;
}

void server_limits::record_sent(const std::string& p_server)
{
    const auto found = limits_.find(p_server);
    if (found != limits_.end() && found->second.permits_ > 0)
    {
        --found->second.permits_;
    }
}

std::optional<duration>
server_limits::permit_interval(const std::string& p_server,
                               time_point p_now) const
{
    const auto found = limits_.find(p_server);
    if (found == limits_.end())
    {
        return std::nullopt;
    }
    return from_seconds(static_cast<double>(others_.size() + 1) /
                        rate_of(found->second, p_now));
}

void server_limits::receive_request(const std::string& p_node,
                                    const std::string& p_server,
                                    unsigned p_priority, time_point p_now)
{
    const auto found = limits_.find(p_server);
    if (found != limits_.end() && found->second.home_ == self_)
    {
        found->second.asking_[p_node] = {p_priority, p_now};
    }
}

void server_limits::receive_permits(const std::string& p_server,
                                    unsigned p_count, time_point p_now)
{
    if (const auto found = limits_.find(p_server); found != limits_.end())
    {
        found->second.permits_ = p_count;
        found->second.permits_until_ = p_now + permit_lifetime;
    }
}

void server_limits::issue(const std::string& p_server, limit& r_limit,
                          time_point p_now)
{
    const double rate = rate_of(r_limit, p_now);
    const double most = std::max(1.0, rate * to_seconds(saved_time));
    const double elapsed_s =
        to_seconds(std::max(duration{}, p_now - r_limit.issued_until_));
    r_limit.saved_permits_ =
        std::min(most, r_limit.saved_permits_ + rate * elapsed_s);
    // Until a node asks again.
    const auto batch = static_cast<unsigned>(
        std::max(1.0, rate * to_seconds(request_interval) /
                          static_cast<double>(others_.size() + 1)));
    r_limit.issued_until_ = p_now;
    std::erase_if(r_limit.asking_,
                  [p_now](const auto& p_item) {
                      return p_now - p_item.second.asked_at_ > request_lifetime;
                  });
    while (r_limit.saved_permits_ >= 1 && !r_limit.asking_.empty())
    {
        const auto next =
            std::min_element(r_limit.asking_.begin(), r_limit.asking_.end(),
                             [](const auto& p_left, const auto& p_right)
                             {
                                 return std::tuple(p_left.second.priority_,
                                                   p_left.second.asked_at_) <
                                        std::tuple(p_right.second.priority_,
                                                   p_right.second.asked_at_);
                             });
        const std::string node = next->first;
        r_limit.asking_.erase(next);
        const unsigned count =
            std::min(batch, static_cast<unsigned>(r_limit.saved_permits_));
        r_limit.saved_permits_ -= count;
        if (node == self_)
        {
            receive_permits(p_server, count, p_now);
        }
        else
        {
            permits_to_send_.push_back({node, p_server, count});
        }
    }
}

void server_limits::tick(time_point p_now)
{
    std::erase_if(limits_, [p_now](const auto& p_item)
                  { return is_over(p_item.second, p_now); });
    for (auto& [server, known] : limits_)
    {
        ask_home(server, known, p_now);
        if (known.home_ == self_)
        {
            issue(server, known, p_now);
        }
    }
}

void server_limits::ask_home(const std::string& p_server, limit& r_limit,
                             time_point p_now)
{
    const bool is_due = r_limit.wanted_at_ &&
                        p_now - *r_limit.wanted_at_ < request_interval &&
                        p_now - r_limit.asked_home_at_ >= request_interval &&
                        !may_send(p_server, p_now);
    if (!is_due)
    {
        return;
    }
    r_limit.asked_home_at_ = p_now;
    if (r_limit.home_ == self_)
    {
        receive_request(self_, p_server, r_limit.wanted_priority_, p_now);
        return;
    }
    requests_to_send_.push_back(
        {r_limit.home_, p_server, r_limit.wanted_priority_});
}

std::vector<server_limits::permit_request> server_limits::take_requests()
{
    return std::exchange(requests_to_send_, {});
}

std::vector<server_limits::permits> server_limits::take_permits()
{
    return std::exchange(permits_to_send_, {});
}

std::vector<limit_report> server_limits::reports() const
{
    std::vector<limit_report> reports;
    for (const auto& [server, known] : limits_)
    {
        if (known.said_here_)
        {
            reports.push_back({server,
                               known.lifted_since_
                                   ? std::nullopt
                                   : std::optional(known.named_per_s_),
                               known.said_at_});
        }
    }
    return reports;
}

bool server_limits::take_news()
{
    return std::exchange(has_news_, false);
}

} // namespace peridotspar::dispatch
