#include "membership/store_follow_policy.hpp"

#include <algorithm>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t follower_count = 5;
constexpr duration step = 20ms;
/// Time until the other nodes know that a node is in contact with the store.
constexpr duration news_delay = 100ms;
/// Time that the store takes to list everything, or to refuse a call.
constexpr duration list_time = 40ms;
/// Time until a watcher repeats a failed call.
constexpr duration retry_delay = 300ms;

/// Nodes that follow a simulated store on a simulated clock. Each knows all
/// others from `peers_known_at_` on.
class fleet
{
public:
    explicit fleet(std::size_t p_nodes, std::size_t p_contact_points = 3,
                   bool p_first_start = true)
    {
        for (std::size_t i = 0; i < p_nodes; ++i)
        {
            const std::string address = "10.0.0." + std::to_string(i) + ":8229";
            nodes_.push_back(
                {store_follow_policy(address, p_first_start, i + 1),
                 {},
                 {},
                 {}});
            nodes_[i].state_.peer_address_ = address;
            nodes_[i].policy_.set_contact_point(i < p_contact_points);
        }
    }
    void run(duration p_time)
    {
        for (const time_point end = now_ + p_time; now_ < end; now_ += step)
        {
            publish();
            for (auto& node : nodes_)
            {
                advance(node);
            }
        }
    }
    /// Runs until enough nodes are in contact; returns how long that took.
    duration run_until_followed(duration p_limit)
    {
        const time_point begin = now_;
        while (in_contact().size() < std::min(follower_count, nodes_.size()) &&
               now_ < begin + p_limit)
        {
            run(step);
        }
        return now_ - begin;
    }
    /// Runs until some node is in contact; returns how long that took.
    duration run_until_contact(duration p_limit)
    {
        const time_point begin = now_;
        while (in_contact().empty() && now_ < begin + p_limit)
        {
            run(step);
        }
        return now_ - begin;
    }
    [[nodiscard]] std::vector<std::size_t> in_contact() const
    {
        std::vector<std::size_t> indices;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if (nodes_[i].contact_.in_contact_)
            {
                indices.push_back(i);
            }
        }
        return indices;
    }
    void stop(std::size_t p_index) { nodes_[p_index].runs_ = false; }
    /// Sets whether the store serves a node.
    void serve(std::size_t p_index, bool p_served)
    {
        nodes_[p_index].served_ = p_served;
    }
    void serve_all(bool p_served)
    {
        for (auto& node : nodes_)
        {
            node.served_ = p_served;
        }
    }
    void know_peers_from(time_point p_time) { peers_known_at_ = p_time; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }

    time_point now_{1h};
    std::size_t attempts_ = 0; ///< To list everything.

private:
    struct node_state
    {
        store_follow_policy policy_;
        peer_state state_;
        store_contact contact_;
        std::optional<time_point> list_due_;
        bool runs_ = true;
        bool served_ = true;
        bool follows_ = false;
    };
    void publish()
    {
        if (now_ < next_news_)
        {
            return;
        }
        next_news_ = now_ + news_delay;
        news_.clear();
        for (auto& node : nodes_)
        {
            node.state_.in_contact_ = node.contact_.in_contact_;
            if (node.runs_)
            {
                news_.push_back(node.state_);
            }
        }
    }
    [[nodiscard]] std::vector<peer_state>
    peers_of(const node_state& p_node) const
    {
        std::vector<peer_state> peers;
        if (now_ >= peers_known_at_)
        {
            std::copy_if(news_.begin(), news_.end(), std::back_inserter(peers),
                         [&](const peer_state& p_peer) {
                             return p_peer.peer_address_ !=
                                    p_node.state_.peer_address_;
                         });
        }
        return peers;
    }
    void advance(node_state& r_node)
    {
        if (!r_node.runs_)
        {
            r_node.contact_ = {};
            return;
        }
        const bool followed = r_node.follows_;
        r_node.follows_ = r_node.policy_.should_follow(
            peers_of(r_node), nodes_.size(), r_node.contact_, now_);
        if (!r_node.follows_)
        {
            r_node.contact_ = {};
            r_node.list_due_.reset();
            return;
        }
        if (!followed || (r_node.contact_.in_contact_ && !r_node.served_))
        {
            r_node.contact_.in_contact_ = false;
            r_node.list_due_ = now_ + list_time;
            ++attempts_;
        }
        if (r_node.list_due_ && now_ >= *r_node.list_due_)
        {
            r_node.list_due_.reset();
            handle_list(r_node);
        }
    }

    void handle_list(node_state& r_node)
    {
        r_node.contact_.in_contact_ = r_node.served_;
        if (r_node.served_)
        {
            r_node.contact_.consecutive_failures_ = 0;
            return;
        }
        ++r_node.contact_.consecutive_failures_;
        r_node.list_due_ = now_ + retry_delay;
    }

    std::vector<node_state> nodes_;
    std::vector<peer_state> news_;
    time_point next_news_{};
    time_point peers_known_at_{};
};

const std::vector<std::size_t> fleet_sizes{1, 2, 7, 72, 195, 350};

} // namespace

TEST_CASE("a fleet that starts at once lists the store a few times only")
{
    for (const std::size_t nodes : fleet_sizes)
    {
        CAPTURE(nodes);
        fleet r(nodes);
        r.know_peers_from(r.now_ + 200ms);
        CHECK(r.run_until_followed(3s) <= 1500ms);
        r.run(10s);
        CHECK(r.in_contact().size() == std::min(nodes, follower_count));
        CHECK(r.attempts_ <= 3 * follower_count);
    }
}

TEST_CASE("a fleet without a contact point that runs follows the store")
{
    fleet r(195, 0);
    r.know_peers_from(r.now_ + 700ms);
    CHECK(r.run_until_followed(3s) <= 1500ms);
    r.run(10s);
    CHECK(r.in_contact().size() == follower_count);
    CHECK(r.attempts_ <= 70);
}

TEST_CASE("a fleet that comes back at once is soon in contact with the store")
{
    for (const std::size_t nodes : fleet_sizes)
    {
        CAPTURE(nodes);
        fleet r(nodes, 0, false);
        r.know_peers_from(r.now_ + 60ms);
        CHECK(r.run_until_contact(2s) <= (nodes < 72 ? 800ms : 250ms));
        r.run(10s);
        CHECK(r.in_contact().size() == std::min(nodes, follower_count));
        CHECK(r.attempts_ <= 70);
    }
}

TEST_CASE("a node without any peer follows the store")
{
    fleet r(1, 0);
    CHECK(r.run_until_followed(3s) <= 1600ms);
}

TEST_CASE("followers that stop or lose contact with the store are replaced")
{
    for (const std::size_t nodes : {std::size_t(72), std::size_t(350)})
    {
        CAPTURE(nodes);
        fleet r(nodes);
        r.run(10s);
        const auto first = r.in_contact();
        r.stop(first[0]);
        r.serve(first[1], false);
        CHECK(r.run_until_followed(3s) <= 1s);
        r.run(10s);
        const auto replaced = r.in_contact();
        CHECK(replaced.size() == follower_count);
        CHECK(std::count(replaced.begin(), replaced.end(), first[0]) == 0);
        CHECK(std::count(replaced.begin(), replaced.end(), first[1]) == 0);
    }
}

TEST_CASE(
    "while the store is down, the whole fleet's attempts are bounded, and "
    "it is followed again soon after its return")
{
    for (const std::size_t nodes : fleet_sizes)
    {
        CAPTURE(nodes);
        fleet r(nodes);
        r.run(5s);
        r.serve_all(false);
        r.run(1s);
        const std::size_t before = r.attempts_;
        r.run(9s);
        // 20 attempts a second, and a margin for chance.
        CHECK(r.attempts_ - before <= 9 * 26);
        r.serve_all(true);
        CHECK(r.run_until_followed(4s) <= 2500ms);
    }
}

TEST_CASE("a store that turns most nodes away is followed by the others")
{
    fleet r(195);
    r.run(5s);
    for (const std::size_t index : r.in_contact())
    {
        r.serve(index, false);
    }
    for (std::size_t i = 0; i < r.size(); ++i)
    {
        if (i % 3 != 0)
        {
            r.serve(i, false);
        }
    }
    CHECK(r.run_until_followed(4s) <= 2s);
    r.run(10s);
    CHECK(r.in_contact().size() == follower_count);
}
