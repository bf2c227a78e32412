#include "core/clock.hpp"
#include "dispatch/resend_loans.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <random>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

const routing::service_name service("s");
const resend_limits limits{0.2, 50, 10s};
constexpr duration step = 10ms;
constexpr int steps_per_window = 1000;

/// How messages between the nodes travel.
struct network
{
    duration min_delay_ = 0ms;
    duration max_delay_ = 10ms;
    double lost_ = 0;
    int report_steps_ = 100; ///< Between a node's reports.
    double reached_ = 0.3;   ///< Share of the peers that get a report.
};

struct fleet_load
{
    std::size_t nodes_;
    double requests_per_s_;
};

/// Nodes that exchange reports and loans on the test clock, and the requests
/// and resends of all of them by step.
class fleet
{
public:
    fleet(fleet_load p_load, network p_network, unsigned p_seed)
        : load_(p_load), network_(p_network), random_(p_seed)
    {
        clock_.set(time_point{1h});
        for (std::size_t i = 0; i < p_load.nodes_; ++i)
        {
            nodes_.emplace_back(limits).set_node_count(p_load.nodes_);
            weights_.push_back(0.1 + chance());
        }
    }
    void run(int p_steps)
    {
        for (int i = 0; i < p_steps; ++i)
        {
            run_step();
        }
    }
    /// Requests no longer come to the node.
    void leave(std::size_t p_node) { weights_[p_node] = 0; }
    void set_rate(double p_per_s) { load_.requests_per_s_ = p_per_s; }
    /// Streams that break at once; each waits for loans for half a second.
    void break_streams(std::size_t p_node, int p_count)
    {
        for (int i = 0; i < p_count; ++i)
        {
            broken_.push_back({p_node, next_id_++, clock_.now() + 500ms});
        }
    }
    [[nodiscard]] int resumed() const { return resumed_; }
    /// Resends of requests whose callers have nothing yet.
    void resend_new(std::size_t p_node, int p_count)
    {
        while (p_count-- > 0 && nodes_[p_node].try_consume(service, now()))
        {
            ++resends_.back();
        }
    }
    /// The largest share of the rule's bound that resends used in any window.
    [[nodiscard]] double worst_use() const;
    [[nodiscard]] double chance()
    {
        return std::uniform_real_distribution<>(0, 1)(random_);
    }
    [[nodiscard]] std::size_t any_node()
    {
        return static_cast<std::size_t>(chance() *
                                        static_cast<double>(nodes_.size()));
    }

private:
    struct message
    {
        time_point at_;
        std::function<void()> deliver_;
        bool operator<(const message& p_other) const
        {
            return at_ > p_other.at_;
        }
    };
    struct broken_stream
    {
        std::size_t node_;
        std::uint64_t id_;
        time_point until_;
    };
    [[nodiscard]] time_point now() const { return clock_.now(); }
    void send(std::function<void()> p_deliver)
    {
        if (chance() < network_.lost_)
        {
            return;
        }
        const auto delay =
            network_.min_delay_ +
            from_seconds(chance() *
                         to_seconds(network_.max_delay_ - network_.min_delay_));
        messages_.push_back({now() + delay, std::move(p_deliver)});
        std::push_heap(messages_.begin(), messages_.end());
    }
    void deliver()
    {
        while (!messages_.empty() && messages_.front().at_ <= now())
        {
            std::pop_heap(messages_.begin(), messages_.end());
            const auto due = std::move(messages_.back());
            messages_.pop_back();
            due.deliver_();
        }
    }
    void add_requests()
    {
        std::poisson_distribution<int> count(load_.requests_per_s_ *
                                             to_seconds(step));
        std::discrete_distribution<std::size_t> node(weights_.begin(),
                                                     weights_.end());
        requests_.push_back(count(random_));
        for (int i = 0; i < requests_.back(); ++i)
        {
            nodes_[node(random_)].record_request(service, now());
        }
    }
    void report(std::size_t p_node)
    {
        const auto lendable = nodes_[p_node].lendable(now());
        for (std::size_t peer = 0; peer < nodes_.size(); ++peer)
        {
            if (peer == p_node || chance() > network_.reached_)
            {
                continue;
            }
            send(
                [this, p_node, peer, lendable] {
                    nodes_[peer].record_peer(std::to_string(p_node), lendable,
                                             now());
                });
        }
    }
    void ask(std::size_t p_node)
    {
        for (const auto& asked : nodes_[p_node].take_requests(now()))
        {
            send(
                [this, p_node, asked]
                {
                    auto loan = asked;
                    loan.resends_ =
                        nodes_[std::stoul(asked.peer_)].lend(asked, now());
                    send([this, p_node, loan]
                         { nodes_[p_node].receive(loan, now()); });
                });
        }
    }
    void resume_streams()
    {
        std::erase_if(broken_,
                      [&](const broken_stream& p_stream)
                      {
                          const auto decision =
                              nodes_[p_stream.node_].try_consume_for_begun(
                                  service, p_stream.id_, now());
                          const bool allowed =
                              decision == resend_decision::allowed;
                          resends_.back() += allowed ? 1 : 0;
                          resumed_ += allowed ? 1 : 0;
                          return allowed || now() >= p_stream.until_;
                      });
    }
    void run_step()
    {
        clock_.advance(step);
        resends_.push_back(0);
        add_requests();
        deliver();
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if ((requests_.size() + i) %
                    static_cast<std::size_t>(network_.report_steps_) ==
                0)
            {
                report(i);
            }
        }
        resume_streams();
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            ask(i);
        }
    }

    fleet_load load_;
    network network_;
    std::mt19937 random_;
    manual_clock clock_;
    std::deque<resend_loans> nodes_;
    std::vector<double> weights_;
    std::vector<message> messages_;
    std::vector<broken_stream> broken_;
    std::uint64_t next_id_ = 0;
    int resumed_ = 0;
    std::vector<int> requests_;
    std::vector<int> resends_;
};

/// The sum of a span of steps, as far as they lie within the run.
int sum(const std::vector<int>& p_sums, int p_begin, int p_end)
{
    const int last = static_cast<int>(p_sums.size()) - 1;
    return p_sums[static_cast<std::size_t>(std::clamp(p_end, 0, last))] -
           p_sums[static_cast<std::size_t>(std::clamp(p_begin, 0, last))];
}

std::vector<int> running_sums(const std::vector<int>& p_counts)
{
    std::vector<int> sums(p_counts.size() + 1, 0);
    std::partial_sum(p_counts.begin(), p_counts.end(), sums.begin() + 1);
    return sums;
}

double fleet::worst_use() const
{
    const auto requests = running_sums(requests_);
    const auto resends = running_sums(resends_);
    constexpr int w = steps_per_window;
    double worst = 0;
    for (int begin = -w; begin < static_cast<int>(resends_.size()); ++begin)
    {
        const int counted = std::max(
            {sum(requests, begin, begin + w), sum(requests, begin - w, begin),
             sum(requests, begin - w / 2, begin + w / 2)});
        const double bound = limits.ratio_ * counted + limits.slack_;
        worst = std::max(worst, sum(resends, begin, begin + w) / bound);
    }
    return worst;
}

/// A run with random bursts, departures and changes of load.
double worst_use_of_random_run(fleet_load p_load, network p_network,
                               unsigned p_seed)
{
    fleet f(p_load, p_network, p_seed);
    f.run(500);
    for (int i = 0; i < 12; ++i)
    {
        f.run(static_cast<int>(f.chance() * 400));
        if (f.chance() < 0.3)
        {
            f.leave(f.any_node() / 2); // The other half stays.
        }
        if (f.chance() < 0.3)
        {
            f.set_rate(p_load.requests_per_s_ * f.chance());
        }
        const bool at_all = f.chance() < 0.5;
        const auto one = f.any_node();
        for (std::size_t node = 0; node < p_load.nodes_; ++node)
        {
            if (at_all || node == one)
            {
                f.break_streams(node, at_all ? 11 : 100);
                f.resend_new(node, f.chance() < 0.5 ? 20 : 0);
            }
        }
    }
    f.run(steps_per_window);
    return f.worst_use();
}

const fleet_load loads[] = {{7, 60}, {88, 120}, {350, 318}};

} // namespace

// Guards against loans that add up beyond the bound in some sliding window.
TEST_CASE("lent resends stay within the rule's bound in each window")
{
    const network prompt{0ms, 20ms, 0, 100, 0.3};
    const network late{0ms, 4s, 0.2, 100, 0.1};
    for (const auto& load : loads)
    {
        const unsigned seeds = load.nodes_ > 100 ? 1 : 2;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            CAPTURE(load.nodes_);
            CAPTURE(seed);
            const double use = worst_use_of_random_run(load, prompt, seed);
            CHECK(use > 0.3);
            CHECK(use <= 1);
            CHECK(worst_use_of_random_run(load, late, seed) <= 1);
        }
    }
}

// Guards against begun streams that end although the fleet has resends left.
TEST_CASE("eleven streams that break at one node of a calm fleet are resumed")
{
    for (const auto& load : loads)
    {
        CAPTURE(load.nodes_);
        fleet f(load, {1ms, 10ms, 0, 100, 0.3}, 1);
        f.run(1500);
        f.break_streams(0, 11);
        f.run(60);
        CHECK(f.resumed() == 11);
    }
}

// Guards against a part that shrinks with the requests of a node that leaves.
TEST_CASE("a leaving node's streams are resumed after 8 s without requests")
{
    for (const auto& load : loads)
    {
        CAPTURE(load.nodes_);
        fleet f(load, {1ms, 10ms, 0, 100, 0.3}, 2);
        f.run(1500);
        f.leave(0);
        f.run(800);
        f.break_streams(0, 11);
        f.run(60);
        CHECK(f.resumed() == 11);
    }
}

TEST_CASE("a node without peers' reports has its own part only")
{
    const time_point start{1h};
    resend_loans loans({0, 3, 10s});
    CHECK(loans.try_consume_for_begun(service, 1, start) ==
          resend_decision::allowed);
    CHECK(loans.try_consume(service, start));
    CHECK(loans.try_consume_for_begun(service, 2, start) ==
          resend_decision::refused);
    CHECK(loans.take_requests(start).empty());
}

// Guards against loans that are used after the lender stopped counting them.
TEST_CASE("a loan that arrives late is not used")
{
    const time_point start{1h};
    resend_loans loans({0, 0, 10s});
    loans.record_peer("p", {{service, 5.0}}, start);
    CHECK(loans.try_consume_for_begun(service, 1, start) ==
          resend_decision::asked);
    auto asked = loans.take_requests(start);
    REQUIRE(asked.size() == 1);
    loans.receive(asked[0], start + resend_loans::loan_lifetime + 1ms);
    CHECK(loans.try_consume_for_begun(service, 1, start + 2s) !=
          resend_decision::allowed);
    loans.receive(asked[0], start + 100ms);
    CHECK(loans.try_consume_for_begun(service, 1, start + 100ms) ==
          resend_decision::allowed);
}

// Guards against resends of new requests that use up what streams borrowed.
TEST_CASE("a loan is not used for a request whose caller has nothing yet")
{
    const time_point start{1h};
    resend_loans loans({0, 0, 10s});
    loans.receive({"p", service, start, 3.0}, start);
    CHECK_FALSE(loans.try_consume(service, start));
    CHECK(loans.try_consume_for_begun(service, 1, start) ==
          resend_decision::allowed);
}
