#pragma once

#include "membership/exchange_message.hpp"
#include "membership/node_directory.hpp"

#include <array>
#include <optional>
#include <random>

namespace peridotspar
{

/// Keeps the live nodes and the load of all engines known at each node, with
/// traffic that hardly grows with the nodes. Decides who sends what to whom and
/// when; the caller sends it. Any two nodes do the same duties, and each duty
/// is taken over by another node when its holder dies. Not thread-safe.
///
/// A node reports its load in each stripe of engines to the stripe's home,
/// which publishes the sums to all. Homes also observe which nodes fall silent.
class load_exchange
{
public:
    /// The total load of an engine, and from when it is.
    struct known_load
    {
        engine_load load_;
        time_point as_of_{};
    };

    /// `p_self.version_.started_ms_` must be later than at earlier starts at
    /// the same address. A node whose clock was set back corrects it itself.
    load_exchange(const node_record& p_self, time_point p_now,
                  spreading_options p_options = {});

    /// Adds the address of a node that may be running.
    void add_candidate(const std::string& p_address);
    /// Replaces what this node says of itself, except its address and version.
    /// A change is told to all at once, but not that this node has caught up
    /// with the configuration or server list of others.
    void update_self(node_record p_record);
    /// Sets this node's own load at an engine.
    void set_load(std::uint32_t p_engine, const engine_load& p_load);

    /// Handles a message from the node at the address `p_from`.
    void receive(const std::string& p_from, const exchange_message& p_message,
                 time_point p_now);
    /// The messages to send now, urgent ones first. To be called each 10 to 20
    /// ms.
    [[nodiscard]] std::vector<outgoing_message> due(time_point p_now);
    /// Counts bytes sent towards this node's byte budget.
    void record_sent_bytes(std::size_t p_bytes);

    /// This node and the live peers.
    [[nodiscard]] const node_directory& directory() const { return nodes_; }
    /// The load of an engine by all nodes; nothing if it isn't known or is too
    /// old. An engine without load is known as such.
    [[nodiscard]] std::optional<known_load> total_load(std::uint32_t p_engine,
                                                       time_point p_now) const;
    /// The same without this node's own part as last reported.
    [[nodiscard]] std::optional<known_load> peers_load(std::uint32_t p_engine,
                                                       time_point p_now) const;

private:
    struct stored_report
    {
        node_version version_;
        time_point received_at_{};
        engine_loads loads_;
    };
    struct stripe
    {
        // As a node that has load.
        engine_loads own_;
        engine_loads reported_;
        bool own_changed_ = false;
        time_point reported_at_{};
        node_key home_;
        // As home.
        std::map<node_key, stored_report> reports_;
        bool sum_changed_ = false;
        time_point home_since_{};
        time_point published_at_{};
        // As published by the home.
        node_key publisher_;
        engine_loads total_;
        time_point received_at_{};
        time_point as_of_{};
    };
    /// What a home says of nodes that fell silent.
    struct observer
    {
        /// Of its last publication in each stripe.
        std::array<node_version, stripe_count> versions_;
        time_point received_at_{};
        bool observes_ = false;
        /// Since when its records differ from this node's.
        std::optional<time_point> differs_since_;
        std::map<node_key, time_point> listed_at_;
    };

    void handle(const std::string& p_from, const load_report& p_report);
    void handle(const std::string& p_from, const load_publication& p_sent);
    void handle(const std::string& p_from, const record_update& p_update);
    void handle(const std::string& p_from, const record_request& p_request);
    void handle(const std::string& p_from, const dead_notice& p_notice);
    void merge_record(const std::string& p_from, const node_record& p_record,
                      bool p_spread);
    /// Counts the questions to nodes known from hearsay; false beyond a limit.
    bool may_ask();
    /// Asks a node whether it lives, if this one hasn't heard it itself. For
    /// nodes that a home doesn't know, as no majority will list them as silent.
    void ask_if_doubtful(known_node& r_node);
    void take_total(const load_publication& p_sent);
    void compare_records(const std::string& p_home, observer& r_home,
                         std::uint64_t p_hash);

    void send(std::vector<std::string> p_to, exchange_message p_message);
    template <class Message>
    void send_to_all(Message p_message, std::uint64_t p_salt);
    void send_own_record(const std::string& p_to, bool p_answer_wanted);
    void send_dead_notice(known_node& r_node);
    void spread(const node_record& p_record);
    void spread_met_nodes();
    void request_records(const std::string& p_from);
    /// Tells which of the held records are of dead nodes or newer than this
    /// node's.
    void send_differences(const std::string& p_to,
                          const std::map<node_key, node_version>& p_held);
    [[nodiscard]] bool is_urgent(const node_record& p_record) const;
    void raise_own_version(const node_version& p_above);

    void refill_allowance();
    void update_homes();
    void judge_silent_nodes();
    void mark_dead(node_key p_key);
    void probe();
    void report_loads();
    void publish_totals();
    void publish(std::uint32_t p_number, stripe& r_stripe);
    [[nodiscard]] std::vector<node_key> silent_nodes() const;

    node_directory nodes_;
    time_point now_; ///< Of the present call.
    std::mt19937_64 random_;
    std::array<stripe, stripe_count> stripes_;
    std::map<node_key, observer> observers_;
    std::vector<std::string> candidates_;
    std::vector<outgoing_message> queue_;
    /// When to tell all of a node that this one has met.
    std::map<node_key, time_point> spreads_;
    std::uint64_t homes_generation_ = ~std::uint64_t{0};
    std::uint32_t report_sequence_ = 0;
    std::uint32_t publication_sequence_ = 0;
    std::optional<time_point> home_since_; ///< Of any stripe.
    time_point started_at_;
    time_point heard_any_at_;
    time_point asking_since_{};
    unsigned asked_ = 0; ///< Since then.
    time_point requested_at_{};
    time_point raised_at_{};
    time_point judged_at_{};
    time_point probed_at_{};
    std::uint64_t probed_; ///< Counts the dead nodes that were probed.
    time_point refilled_at_;
    double allowance_bytes_;
};

} // namespace peridotspar
