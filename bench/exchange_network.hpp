#pragma once

#include "membership/load_exchange.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace peridotspar::bench
{

struct network_options
{
    duration tick_ = std::chrono::milliseconds(10); ///< Between calls of due().
    duration delay_ = std::chrono::milliseconds(1);
    /// Additional delay between failure domains.
    duration domain_delay_ = std::chrono::milliseconds(4);
    duration jitter_{}; ///< Greatest random delay; reorders messages.
    double loss_ = 0;   ///< Probability for each datagram.
    double duplicates_ = 0;
    /// Sends bytes and counts them, and the CPU time that this takes.
    bool encodes_ = true;
    spreading_options spreading_;
};

struct traffic
{
    std::uint64_t datagrams_ = 0;
    std::uint64_t bytes_ = 0;        ///< Payload sent.
    std::uint64_t domain_bytes_ = 0; ///< Of these, to other failure domains.
    std::uint64_t largest_ = 0;      ///< Bytes of the largest datagram.
    double cpu_s_ = 0; ///< Encoding, decoding, merging and deciding.

    traffic& operator-=(const traffic& p_earlier);
};

/// Nodes with a `load_exchange` each, joined by a simulated network. The clock
/// is simulated; the same seed gives the same course.
class exchange_network
{
public:
    exchange_network(network_options p_options, std::uint64_t p_seed);

    /// Adds a node that isn't running, and returns its number.
    std::size_t add(std::size_t p_failure_domain);
    /// Starts it with some addresses of nodes.
    void start(std::size_t p_node, const std::vector<std::size_t>& p_seeds,
               std::int64_t p_started_ms);
    void stop(std::size_t p_node);
    /// Loses all messages from one node to another, or no more.
    void set_cut(std::size_t p_from, std::size_t p_to, bool p_cut);
    void clear_cuts() { cuts_.clear(); }
    void set_options(const network_options& p_options) { options_ = p_options; }
    /// Advances the clock.
    void run(duration p_time);

    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    /// Null if it isn't running.
    [[nodiscard]] load_exchange* node(std::size_t p_node)
    {
        return nodes_[p_node].exchange_.get();
    }
    [[nodiscard]] const traffic& traffic_of(std::size_t p_node) const
    {
        return nodes_[p_node].traffic_;
    }
    [[nodiscard]] static std::string address_of(std::size_t p_node);
    [[nodiscard]] static node_key key(std::size_t p_node)
    {
        return key_of(address_of(p_node));
    }

    /// Called after each message was received, with the receiver's number.
    std::function<void(std::size_t)> on_received_;

private:
    struct simulated_node
    {
        std::size_t failure_domain_ = 0;
        std::unique_ptr<load_exchange> exchange_;
        std::uint64_t starts_ = 0;
        traffic traffic_;
    };
    struct parcel
    {
        exchange_message message_;
        std::string bytes_;
    };
    struct event
    {
        time_point at_{};
        std::uint64_t number_ = 0; ///< Order of events at the same time.
        std::size_t node_ = 0;
        std::uint64_t starts_ = 0; ///< Of the node, for its own ticks.
        std::size_t from_ = 0;
        std::shared_ptr<const parcel> parcel_; ///< Null for a tick.

        friend bool operator>(const event& p_a, const event& p_b)
        {
            return std::pair(p_a.at_, p_a.number_) >
                   std::pair(p_b.at_, p_b.number_);
        }
    };

    void tick(const event& p_event);
    void deliver(const event& p_event);
    void send(std::size_t p_from, const outgoing_message& p_outgoing);
    void schedule(event p_event);
    [[nodiscard]] bool happens(double p_probability);

    network_options options_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    std::vector<simulated_node> nodes_;
    std::map<std::string, std::size_t> numbers_; ///< By address.
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t next_event_ = 0;
};

} // namespace peridotspar::bench
