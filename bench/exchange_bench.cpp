#include "bench/exchange_bench.hpp"

#include "bench/exchange_network.hpp"

#include <algorithm>
#include <cstdio>

namespace peridotspar::bench
{

namespace
{

using namespace std::chrono_literals;

/// Loads change and views are looked at in such steps.
constexpr duration step = 10ms;
constexpr duration start_time = 10s;
constexpr duration measured_time = 10s;
constexpr duration time_for_death = 4s;
constexpr int deaths = 8;
/// Nodes whose load changes are followed, each by a field of its own.
constexpr std::size_t tracers = 3;
constexpr std::size_t tracer_receivers = 24;
constexpr std::uint32_t kilotokens_of_request = 2;
constexpr duration prefill_time = 80ms;
constexpr std::uint32_t prefill_units_of_request = 8;
constexpr double shortest_stream_s = 1;
constexpr double longest_stream_s = 4;

constexpr std::array tracer_fields{&engine_load::kilotokens_,
                                   &engine_load::prefill_units_,
                                   &engine_load::tight_streams_};

/// Makes requests at random engines and tells the exchange of each node.
class load_source
{
public:
    load_source(exchange_network& r_network, const fleet& p_fleet)
        : network_(r_network), fleet_(p_fleet), loads_(p_fleet.nodes_)
    {
    }

    void advance(time_point p_now)
    {
        std::poisson_distribution<int> starts(fleet_.requests_per_s_ *
                                              to_seconds(step));
        for (std::size_t node = 0; node < fleet_.nodes_; ++node)
        {
            for (int i = starts(random_); i > 0; --i)
            {
                start(node, p_now);
            }
        }
        while (!changes_.empty() && changes_.top().at_ <= p_now)
        {
            const change next = changes_.top();
            changes_.pop();
            engine_load& load = loads_[next.node_][next.engine_];
            load.requests_ -= next.load_.requests_;
            load.kilotokens_ -= next.load_.kilotokens_;
            load.prefill_units_ -= next.load_.prefill_units_;
            load.tight_streams_ -= next.load_.tight_streams_;
            tell(next.node_, next.engine_);
        }
    }

    /// Called with the node and the engine after each change instead of
    /// telling the node its load.
    std::function<void(std::size_t, std::uint32_t, const engine_load&)>
        on_change_;

private:
    struct change
    {
        time_point at_{};
        std::size_t node_ = 0;
        std::uint32_t engine_ = 0;
        engine_load load_; ///< What ends.

        friend bool operator>(const change& p_a, const change& p_b)
        {
            return p_a.at_ > p_b.at_;
        }
    };

    void start(std::size_t p_node, time_point p_now)
    {
        const auto engine =
            static_cast<std::uint32_t>(random_() % fleet_.engines_);
        const engine_load stream{1, kilotokens_of_request, 0,
                                 static_cast<std::uint32_t>(random_() % 2)};
        const engine_load prefill{0, 0, prefill_units_of_request, 0};
        loads_[p_node][engine] += stream;
        loads_[p_node][engine] += prefill;
        changes_.push({p_now + prefill_time, p_node, engine, prefill});
        changes_.push(
            {p_now + from_seconds(std::uniform_real_distribution<double>(
                         shortest_stream_s, longest_stream_s)(random_)),
             p_node, engine, stream});
        tell(p_node, engine);
    }
    void tell(std::size_t p_node, std::uint32_t p_engine)
    {
        const engine_load& load = loads_[p_node][p_engine];
        if (on_change_)
        {
            on_change_(p_node, p_engine, load);
        }
        else if (network_.node(p_node) != nullptr)
        {
            network_.node(p_node)->set_load(p_engine, load);
        }
    }

    exchange_network& network_;
    fleet fleet_;
    std::mt19937_64 random_{7};
    std::vector<engine_loads> loads_;
    std::priority_queue<change, std::vector<change>, std::greater<>> changes_;
};

/// A fleet that was started all at once.
class running_fleet
{
public:
    explicit running_fleet(const fleet& p_fleet, network_options p_options = {})
        : fleet_(p_fleet), network_(p_options, 1), loads_(network_, p_fleet)
    {
        for (std::size_t i = 0; i < p_fleet.nodes_; ++i)
        {
            network_.add(i % p_fleet.failure_domains_);
        }
        for (std::size_t i = 0; i < p_fleet.nodes_; ++i)
        {
            constexpr std::size_t seeds = 5;
            std::vector<std::size_t> known;
            for (std::size_t s = 0; s < seeds; ++s)
            {
                known.push_back(random_() % p_fleet.nodes_);
            }
            network_.start(i, known, 1'700'000'000'000);
        }
    }

    void advance(duration p_time)
    {
        for (duration passed{}; passed < p_time; passed += step)
        {
            loads_.advance(network_.now());
            network_.run(step);
        }
    }
    [[nodiscard]] bool all_agree(std::size_t p_live)
    {
        for (std::size_t i = 0; i < fleet_.nodes_; ++i)
        {
            const auto* node = network_.node(i);
            if (node != nullptr && node->directory().live().size() != p_live)
            {
                return false;
            }
        }
        return true;
    }
    /// Advances until all running nodes see this many live ones. Returns the
    /// time in seconds, at most `p_limit`.
    double advance_until_agreed(std::size_t p_live, duration p_limit)
    {
        const time_point began = network_.now();
        while (!all_agree(p_live) && network_.now() - began < p_limit)
        {
            advance(step);
        }
        return to_seconds(network_.now() - began);
    }

    fleet fleet_;
    exchange_network network_;
    load_source loads_;
    std::mt19937_64 random_{3};
};

struct traffic_figures
{
    traffic sum_;
    double busiest_bytes_ = 0;
    double busiest_cpu_s_ = 0;
};

traffic_figures measure_traffic(running_fleet& r_fleet)
{
    const std::size_t nodes = r_fleet.fleet_.nodes_;
    std::vector<traffic> before;
    for (std::size_t i = 0; i < nodes; ++i)
    {
        before.push_back(r_fleet.network_.traffic_of(i));
    }
    r_fleet.advance(measured_time);
    traffic_figures figures;
    for (std::size_t i = 0; i < nodes; ++i)
    {
        traffic of_node = r_fleet.network_.traffic_of(i);
        of_node -= before[i];
        figures.sum_.datagrams_ += of_node.datagrams_;
        figures.sum_.bytes_ += of_node.bytes_;
        figures.sum_.domain_bytes_ += of_node.domain_bytes_;
        figures.sum_.cpu_s_ += of_node.cpu_s_;
        figures.sum_.largest_ =
            std::max(figures.sum_.largest_, of_node.largest_);
        figures.busiest_bytes_ = std::max(figures.busiest_bytes_,
                                          static_cast<double>(of_node.bytes_));
        figures.busiest_cpu_s_ =
            std::max(figures.busiest_cpu_s_, of_node.cpu_s_);
    }
    return figures;
}

sample measure_deaths(running_fleet& r_fleet)
{
    sample times;
    auto& network = r_fleet.network_;
    const std::size_t nodes = r_fleet.fleet_.nodes_;
    const std::size_t count = std::min<std::size_t>(deaths, (nodes - 1) / 2);
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::size_t victim = i * nodes / count;
        const node_key key = exchange_network::key(victim);
        network.stop(victim);
        const time_point died_at = network.now();
        std::vector<bool> knows(nodes);
        while (network.now() - died_at < time_for_death)
        {
            r_fleet.advance(step);
            for (std::size_t j = 0; j < nodes; ++j)
            {
                auto* node = network.node(j);
                if (node != nullptr && !knows[j] &&
                    !node->directory().is_live(key))
                {
                    knows[j] = true;
                    times.add(to_seconds(network.now() - died_at));
                }
            }
        }
        for (std::size_t j = 0; j < nodes; ++j)
        {
            if (network.node(j) != nullptr && !knows[j])
            {
                times.add(to_seconds(time_for_death));
            }
        }
    }
    return times;
}

/// Time from each change of a tracer's load until a node knows of it. All other
/// nodes change their loads too, in the field that no tracer uses.
sample measure_ages(const fleet& p_fleet, network_options p_options = {})
{
    struct pending_change
    {
        time_point at_{};
        std::uint32_t engine_ = 0;
        std::uint32_t count_ = 0;
    };
    running_fleet fleet(p_fleet, p_options);
    fleet.network_.run(start_time);
    std::array<std::vector<pending_change>, tracers> made;
    std::array<std::map<std::uint32_t, std::uint32_t>, tracers> counts;
    fleet.loads_.on_change_ = [&](std::size_t p_node, std::uint32_t p_engine,
                                  const engine_load& p_load)
    {
        engine_load load{p_load.requests_ + p_load.prefill_units_, 0, 0, 0};
        if (p_node < tracers)
        {
            load = {};
            const std::uint32_t count = ++counts[p_node][p_engine];
            load.*tracer_fields[p_node] = count;
            made[p_node].push_back({fleet.network_.now(), p_engine, count});
        }
        fleet.network_.node(p_node)->set_load(p_engine, load);
    };
    sample ages;
    struct follower
    {
        std::size_t node_ = 0;
        std::size_t tracer_ = 0;
        std::vector<pending_change> pending_;
        std::size_t taken_ = 0;
    };
    std::vector<follower> followers;
    for (std::size_t i = 0; i < tracer_receivers; ++i)
    {
        const std::size_t node = i * p_fleet.nodes_ / tracer_receivers;
        for (std::size_t tracer = 0; tracer < tracers; ++tracer)
        {
            if (node != tracer)
            {
                followers.push_back({node, tracer, {}, 0});
            }
        }
    }
    const time_point last = fleet.network_.now() + measured_time;
    while (fleet.network_.now() < last)
    {
        fleet.advance(step);
        const time_point now = fleet.network_.now();
        for (auto& follower : followers)
        {
            const auto& changes = made[follower.tracer_];
            follower.pending_.insert(
                follower.pending_.end(),
                changes.begin() + static_cast<std::ptrdiff_t>(follower.taken_),
                changes.end());
            follower.taken_ = changes.size();
            std::erase_if(
                follower.pending_,
                [&](const pending_change& p_change)
                {
                    const auto total = fleet.network_.node(follower.node_)
                                           ->total_load(p_change.engine_, now);
                    const bool is_known =
                        total &&
                        total->load_.*tracer_fields[follower.tracer_] >=
                            p_change.count_;
                    if (is_known)
                    {
                        ages.add(to_seconds(now - p_change.at_));
                    }
                    return is_known;
                });
        }
    }
    // What is still unknown counts with its age so far if that is long.
    for (const auto& follower : followers)
    {
        for (const auto& change : follower.pending_)
        {
            if (last - change.at_ > 1s)
            {
                ages.add(to_seconds(last - change.at_));
            }
        }
    }
    return ages;
}

} // namespace

double sample::quantile(double p_quantile)
{
    if (values_.empty())
    {
        return 0;
    }
    std::sort(values_.begin(), values_.end());
    const auto index = static_cast<std::size_t>(
        p_quantile * static_cast<double>(values_.size() - 1));
    return values_[index];
}

void measure_exchange(const fleet& p_fleet)
{
    sample ages = measure_ages(p_fleet);
    running_fleet fleet(p_fleet);
    const double joined_s = fleet.advance_until_agreed(p_fleet.nodes_, 20s);
    fleet.advance(start_time);
    const traffic_figures figures = measure_traffic(fleet);
    sample times = measure_deaths(fleet);
    const double node_seconds =
        static_cast<double>(p_fleet.nodes_) * to_seconds(measured_time);
    const auto per_node = [node_seconds](auto p_sum)
    { return static_cast<double>(p_sum) / node_seconds; };
    std::printf(
        "bench=gossip exchange=homes nodes=%zu load_age_p50_s=%.2f "
        "load_age_p99_s=%.2f death_p99_s=%.2f datagrams_s=%.0f bytes_s=%.0f "
        "busiest_bytes_s=%.0f domain_bytes_s=%.0f largest_datagram=%llu "
        "cpu_us_s=%.0f busiest_cpu_us_s=%.0f all_joined_s=%.1f\n",
        p_fleet.nodes_, ages.quantile(0.5), ages.quantile(0.99),
        times.quantile(0.99), per_node(figures.sum_.datagrams_),
        per_node(figures.sum_.bytes_),
        figures.busiest_bytes_ / to_seconds(measured_time),
        per_node(figures.sum_.domain_bytes_),
        static_cast<unsigned long long>(figures.sum_.largest_),
        per_node(figures.sum_.cpu_s_) * 1e6,
        figures.busiest_cpu_s_ / to_seconds(measured_time) * 1e6, joined_s);
    std::fflush(stdout);
}

void measure_exchange_faults(const fleet& p_fleet)
{
    constexpr double loss = 0.05;
    constexpr duration lossy_time = 20s;
    constexpr duration cut_time = 8s;
    constexpr duration limit = 20s;
    const std::size_t nodes = p_fleet.nodes_;
    network_options lossy;
    lossy.loss_ = loss;
    sample ages = measure_ages(p_fleet, lossy);

    running_fleet fleet(p_fleet, lossy);
    fleet.advance(start_time);
    std::size_t false_deaths = 0;
    std::vector<std::vector<bool>> was_live(nodes, std::vector<bool>(nodes));
    for (duration passed{}; passed < lossy_time; passed += 100ms)
    {
        fleet.advance(100ms);
        for (std::size_t i = 0; i < nodes; ++i)
        {
            for (std::size_t j = 0; j < nodes; ++j)
            {
                const bool live = fleet.network_.node(i)->directory().is_live(
                    exchange_network::key(j));
                false_deaths += was_live[i][j] && !live ? 1 : 0;
                was_live[i][j] = live;
            }
        }
    }
    fleet.network_.set_options({});
    fleet.advance_until_agreed(nodes, limit);

    const std::size_t domains = p_fleet.failure_domains_;
    const std::size_t apart = nodes / domains;
    for (std::size_t i = 0; i < nodes; ++i)
    {
        for (std::size_t j = 0; j < nodes; ++j)
        {
            fleet.network_.set_cut(i, j,
                                   (i % domains == 0) != (j % domains == 0));
        }
    }
    fleet.advance(cut_time);
    const std::size_t seen_apart =
        fleet.network_.node(0)->directory().live().size();
    fleet.network_.clear_cuts();
    const double healed_s = fleet.advance_until_agreed(nodes, limit);
    fleet.advance(3s);

    std::size_t left = 0;
    for (std::size_t i = 0; i < nodes; ++i)
    {
        if (i % 3 == 0)
        {
            fleet.network_.stop(i);
        }
        else
        {
            ++left;
        }
    }
    const double third_s = fleet.advance_until_agreed(left, limit);
    std::printf(
        "bench=gossip exchange=homes faults=1 nodes=%zu loss=%.2f "
        "load_age_p50_s=%.2f load_age_p99_s=%.2f false_deaths=%zu "
        "node_seconds=%.0f cut_domain_sees=%zu of=%zu agreed_after_cut_s=%.1f "
        "agreed_after_third_lost_s=%.1f\n",
        nodes, loss, ages.quantile(0.5), ages.quantile(0.99), false_deaths,
        static_cast<double>(nodes) * to_seconds(lossy_time), seen_apart,
        apart + (nodes % domains != 0 ? 1 : 0), healed_s, third_s);
    std::fflush(stdout);
}

} // namespace peridotspar::bench
