#include "usage/usage_collector.hpp"
#include "usage/usage_counter.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <random>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

using totals = std::map<std::string, std::uint64_t>;

/// A network that repeats, delays and reorders datagrams, and loses some.
struct network
{
    unsigned loss_percent_ = 0;
    /// Datagrams with counts of a window that ended 1.2 s ago arrive.
    bool keeps_last_resend_ = false;
};

std::string name(const std::string& p_prefix, int p_index)
{
    return p_prefix + std::to_string(p_index);
}

/// Nodes that count requests and send their counts to collectors.
class lossy_fleet
{
public:
    lossy_fleet(int p_nodes, network p_network, unsigned p_seed)
        : network_(p_network), random_(p_seed)
    {
        for (int i = 0; i < p_nodes; ++i)
        {
            nodes_.push_back({name("n", i), "r1", usage_counter(5s)});
        }
    }

    void add_collector(const std::string& p_name) { collectors_[p_name]; }

    /// Kills a node and starts it again.
    void restart(std::size_t p_node)
    {
        nodes_[p_node].run_ = "r" + std::to_string(++restarts_ + 1);
        nodes_[p_node].counter_ = usage_counter(5s);
    }

    void run(std::chrono::milliseconds p_time, bool p_requests,
             std::optional<std::size_t> p_quiet_node = std::nullopt)
    {
        for (const std::int64_t end = unix_ms_ + p_time.count(); unix_ms_ < end;
             unix_ms_ += 20)
        {
            for (std::size_t i = 0; i < nodes_.size(); ++i)
            {
                if (p_requests && p_quiet_node != i && chance(60))
                {
                    begin_request(nodes_[i]);
                }
                send(nodes_[i]);
            }
            deliver();
        }
    }

    [[nodiscard]] const std::map<window_id, totals>& truth() const
    {
        return truth_;
    }
    [[nodiscard]] totals known(const std::string& p_collector,
                               window_id p_window) const
    {
        return collectors_.at(p_collector).totals(p_window);
    }

private:
    struct node
    {
        std::string name_;
        std::string run_;
        usage_counter counter_;
    };
    struct datagram
    {
        std::int64_t arrives_ms_;
        std::string to_;
        std::string node_;
        std::string run_;
        std::vector<usage_count> counts_;
    };

    bool chance(unsigned p_percent) { return random_() % 100 < p_percent; }

    bool is_lost(const std::vector<usage_count>& p_counts)
    {
        const auto is_last_resend = [&](const usage_count& p_count)
        {
            return unix_ms_ -
                       window_begin_ms(window_after(p_count.window_), 5s) >=
                   1200;
        };
        return chance(network_.loss_percent_) &&
               !(network_.keeps_last_resend_ &&
                 std::any_of(p_counts.begin(), p_counts.end(), is_last_resend));
    }

    void begin_request(node& r_node)
    {
        const std::string account = name("a", static_cast<int>(random_() % 40));
        r_node.counter_.record_begin(account, unix_ms_);
        ++truth_[window_at(unix_ms_, 5s)][account];
    }

    void send(node& r_node)
    {
        const time_point now(std::chrono::milliseconds{unix_ms_});
        for (const auto& [to, collector] : collectors_)
        {
            const auto counts = r_node.counter_.due(to, now, unix_ms_);
            if (counts.empty() || is_lost(counts))
            {
                continue;
            }
            const int copies = chance(20) ? 2 : 1;
            for (int i = 0; i < copies; ++i)
            {
                const auto delay = static_cast<std::int64_t>(random_() % 600);
                in_transit_.push_back(
                    {unix_ms_ + delay, to, r_node.name_, r_node.run_, counts});
            }
        }
    }

    void deliver()
    {
        std::shuffle(in_transit_.begin(), in_transit_.end(), random_);
        std::erase_if(in_transit_,
                      [&](const datagram& p_datagram)
                      {
                          if (p_datagram.arrives_ms_ > unix_ms_)
                          {
                              return false;
                          }
                          collectors_[p_datagram.to_].record(
                              p_datagram.node_, p_datagram.run_,
                              p_datagram.counts_);
                          return true;
                      });
        for (auto& [name_of, collector] : collectors_)
        {
            collector.set_current(window_at(unix_ms_, 5s));
        }
    }

    network network_;
    std::mt19937 random_;
    std::int64_t unix_ms_ = 1'000'000;
    std::vector<node> nodes_;
    std::map<std::string, usage_collector> collectors_;
    std::vector<datagram> in_transit_;
    std::map<window_id, totals> truth_;
    int restarts_ = 0;
};

void check_totals(const lossy_fleet& p_fleet, const std::string& p_collector)
{
    for (const auto& [id, accounts] : p_fleet.truth())
    {
        CAPTURE(id.value());
        CHECK(p_fleet.known(p_collector, id) == accounts);
    }
}

} // namespace

// Guards against counts that stay lost although a later datagram had them, and
// against counts that are added twice.
TEST_CASE("lost, repeated and reordered counts end in the right totals")
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        lossy_fleet fleet(8, {40, true}, seed);
        fleet.add_collector("c");
        fleet.run(15s, true);
        fleet.run(3s, false);
        check_totals(fleet, "c");
    }
}

// A count is missing only if its last change and both resends were lost.
TEST_CASE("with 5 percent of all datagrams lost hardly an account is off")
{
    int accounts_seen = 0;
    int off = 0;
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        lossy_fleet fleet(8, {5, false}, seed);
        fleet.add_collector("c");
        fleet.run(15s, true);
        fleet.run(3s, false);
        for (const auto& [id, accounts] : fleet.truth())
        {
            const totals known = fleet.known("c", id);
            for (const auto& [account, requests] : accounts)
            {
                const auto entry = known.find(account);
                const auto count = entry == known.end() ? 0 : entry->second;
                const auto missing = static_cast<double>(requests - count);
                ++accounts_seen;
                off += missing > 0.05 * static_cast<double>(requests) ? 1 : 0;
            }
        }
    }
    MESSAGE(off << " of " << accounts_seen
                << " accounts of windows are off by more than 5 %");
    CHECK(off <= accounts_seen / 200);
}

TEST_CASE("the counts of a node that was killed remain beside its new run's")
{
    for (unsigned seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        lossy_fleet fleet(6, {}, seed);
        fleet.add_collector("c");
        fleet.run(7s, true);
        // The counts of its last quarter second would be lost with it.
        fleet.run(300ms, true, 2);
        fleet.restart(2);
        fleet.run(7700ms, true);
        fleet.run(3s, false);
        check_totals(fleet, "c");
    }
}

TEST_CASE("a collector that starts in mid-window gets the same totals")
{
    for (unsigned seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        lossy_fleet fleet(8, {40, true}, seed);
        fleet.add_collector("first");
        fleet.run(12s, true);
        fleet.add_collector("second");
        fleet.run(8s, true);
        fleet.run(3s, false);
        check_totals(fleet, "first");
        check_totals(fleet, "second");
    }
}
