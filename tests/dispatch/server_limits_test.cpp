#include "dispatch/server_limits.hpp"

#include <deque>
#include <functional>
#include <random>
#include <set>
#include <utility>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

const std::string server = "i-1@1";
constexpr duration step = 20ms;
constexpr duration window = 4s;

/// What a server may get in any four seconds at most, by its stated target.
double allowed(double p_per_s)
{
    return 1.5 * p_per_s * to_seconds(window) + 5;
}

/// Nodes that always have requests for one limited server, and messages between
/// them that take time and are lost at times.
class fleet
{
public:
    fleet(std::size_t p_nodes, double p_per_s, std::uint64_t p_seed)
        : per_s_(p_per_s), random_(p_seed), nodes_(p_nodes)
    {
        for (std::size_t i = 0; i < p_nodes; ++i)
        {
            live_.insert(i);
        }
        set_views();
    }

    void run(duration p_time)
    {
        for (const time_point end = now_ + p_time; now_ < end; now_ += step)
        {
            deliver();
            for (const std::size_t node : live_)
            {
                run_node(node);
            }
        }
    }
    /// The server takes `p_from`'s place in time: it names its limit in answers
    /// from now on to all nodes that send to it.
    void set_limit(std::optional<double> p_per_s) { named_ = p_per_s; }
    /// The others count it as live for a second more.
    void kill(std::size_t p_node)
    {
        live_.erase(p_node);
        run(1s);
        set_views();
    }
    void restart(std::size_t p_node)
    {
        nodes_[p_node] = {};
        live_.insert(p_node);
        set_views();
    }
    /// Each part of the fleet takes the other for dead.
    void set_split(bool p_split)
    {
        split_ = p_split;
        set_views();
    }
    [[nodiscard]] std::size_t home() const
    {
        std::size_t best = 0;
        for (const std::size_t node : live_)
        {
            best = issued_[node] > issued_[best] ? node : best;
        }
        return best;
    }
    /// The most requests in any four seconds that began after a time.
    [[nodiscard]] std::size_t most_in_window(time_point p_after) const
    {
        std::size_t most = 0;
        for (std::size_t first = 0; first < arrivals_.size(); ++first)
        {
            std::size_t count = 0;
            for (std::size_t i = first;
                 i < arrivals_.size() &&
                 arrivals_[i] < arrivals_[first] + window;
                 ++i)
            {
                ++count;
            }
            most = arrivals_[first] >= p_after ? std::max(most, count) : most;
        }
        return most;
    }
    [[nodiscard]] std::size_t arrivals_since(time_point p_after) const
    {
        return static_cast<std::size_t>(std::count_if(
            arrivals_.begin(), arrivals_.end(),
            [p_after](time_point p_at) { return p_at >= p_after; }));
    }
    [[nodiscard]] time_point now() const { return now_; }

private:
    struct message
    {
        time_point due_{};
        std::size_t to_ = 0;
        std::function<void(server_limits&, time_point)> handle_;
    };

    static std::string name(std::size_t p_node)
    {
        return "n" + std::to_string(p_node);
    }
    static std::size_t number(const std::string& p_name)
    {
        return std::stoul(p_name.substr(1));
    }
    void set_views()
    {
        issued_.resize(nodes_.size());
        for (const std::size_t node : live_)
        {
            std::vector<std::string> others;
            for (const std::size_t other : live_)
            {
                if (other != node && (!split_ || other % 2 == node % 2))
                {
                    others.push_back(name(other));
                }
            }
            nodes_[node].set_nodes(name(node), others);
        }
    }
    void post(std::size_t p_from, std::size_t p_to,
              std::function<void(server_limits&, time_point)> p_handle)
    {
        std::uniform_int_distribution<int> delay_ms(1, 80);
        std::uniform_int_distribution<int> chance(1, 20);
        const bool is_cut = split_ && p_from % 2 != p_to % 2;
        if (!is_cut && chance(random_) > 1)
        {
            messages_.push_back(
                {now_ + std::chrono::milliseconds(delay_ms(random_)), p_to,
                 std::move(p_handle)});
        }
    }
    void deliver()
    {
        std::deque<message> later;
        for (auto& each : std::exchange(messages_, {}))
        {
            if (each.due_ > now_)
            {
                later.push_back(std::move(each));
            }
            else if (live_.contains(each.to_))
            {
                each.handle_(nodes_[each.to_], now_);
            }
        }
        messages_.insert(messages_.end(), later.begin(), later.end());
    }
    void run_node(std::size_t p_node)
    {
        server_limits& node = nodes_[p_node];
        node.tick(now_);
        if (node.may_send(server, now_))
        {
            node.record_sent(server);
            arrivals_.push_back(now_);
            node.record_response(server, named_, now_);
        }
        else
        {
            node.request_permit(server, 1, now_);
        }
        for (const auto& asked : node.take_requests())
        {
            post(p_node, number(asked.home_),
                 [p_node](server_limits& r_home, time_point p_now)
                 { r_home.receive_request(name(p_node), server, 1, p_now); });
        }
        for (const auto& issued : node.take_permits())
        {
            ++issued_[p_node];
            post(
                p_node, number(issued.node_),
                [count = issued.count_](server_limits& r_node, time_point p_now)
                { r_node.receive_permits(server, count, p_now); });
        }
        const bool reports = node.take_news() || now_ >= next_report_[p_node];
        if (!reports)
        {
            return;
        }
        next_report_[p_node] = now_ + 200ms;
        for (const auto& report : node.reports())
        {
            for (const std::size_t other : live_)
            {
                if (other != p_node)
                {
                    post(p_node, other,
                         [report](server_limits& r_node, time_point p_now)
                         { r_node.merge(report, p_now); });
                }
            }
        }
    }

    double per_s_;
    std::mt19937_64 random_;
    std::vector<server_limits> nodes_;
    std::vector<std::size_t> issued_;
    std::map<std::size_t, time_point> next_report_;
    std::set<std::size_t> live_;
    bool split_ = false;
    std::optional<double> named_;
    time_point now_{1h};
    std::deque<message> messages_;
    std::vector<time_point> arrivals_;
};

} // namespace

TEST_CASE("nodes together keep a server's limit and use it")
{
    for (const std::size_t nodes : {1, 7, 72, 350})
    {
        for (const double limit : {0.3, 1.2, 20.0})
        {
            CAPTURE(nodes);
            CAPTURE(limit);
            fleet all(nodes, limit, nodes);
            all.set_limit(limit);
            all.run(1s);
            const time_point told = all.now();
            all.run(20s);
            CHECK(static_cast<double>(all.most_in_window(told)) <=
                  allowed(limit));
            CHECK(static_cast<double>(all.arrivals_since(told)) >=
                  0.6 * limit * 20 - 1);
        }
    }
}

TEST_CASE("a limit holds while the node that issues permits dies or restarts, "
          "and while nodes disagree on who is live")
{
    constexpr double limit = 1.2;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        fleet all(7, limit, seed);
        all.set_limit(limit);
        all.run(1s);
        const time_point told = all.now();
        all.run(5s);
        for (int i = 0; i < 3; ++i)
        {
            const std::size_t home = all.home();
            all.kill(home);
            all.run(2s);
            all.restart(home);
            all.run(3s);
        }
        all.set_split(true);
        all.run(3s);
        all.set_split(false);
        all.run(5s);
        CHECK(static_cast<double>(all.most_in_window(told)) <= allowed(limit));
    }
}

TEST_CASE(
    "when a server names no limit any more its requests come back without "
    "a burst")
{
    fleet all(7, 1, 1);
    all.set_limit(1);
    all.run(10s);
    all.set_limit(std::nullopt);
    const time_point lifted = all.now();
    all.run(2s);
    // Two seconds of a rate that doubles each second: 1, 2, then 4 a second.
    CHECK(all.arrivals_since(lifted) <= 10);
    all.run(8s);
    CHECK(all.arrivals_since(lifted) > 500);
}
