#pragma once

#include "backend/buffered_client.hpp"
#include "capacity/demand_tracker.hpp"
#include "capacity/engine_orders.hpp"
#include "core/entry_settings.hpp"
#include "daemon/duty_report.hpp"
#include "daemon/entry_gossip.hpp"
#include "daemon/lease_sync.hpp"
#include "ingress/router.hpp"
#include "usage/fleet_clock.hpp"
#include "usage/usage_collector.hpp"
#include "usage/usage_counter.hpp"
#include "usage/usage_reports.hpp"

#include <map>
#include <optional>
#include <string>

namespace peridotspar
{

/// Does the duties that one node does for all: reports usage and orders
/// engines. Every node counts its requests and reports them to the nodes that
/// may hold the lease; the one that holds it calls the platform's service.
/// Only for deployments that have such a service. Not thread-safe: use it only
/// on the thread of its node.
class duty_runner : public duty_listener
{
public:
    /// Sets itself as the listener of `p_gossip` and the callbacks of
    /// `p_router`.
    duty_runner(const entry_settings& p_settings,
                backend::buffered_client& p_client, entry_gossip& p_gossip,
                ingress::router& p_router);

    /// What the node knows of its contact with the store.
    struct store_state
    {
        bool in_contact_ = false;
        std::uint64_t era_ = 0;
    };
    /// Call it every few milliseconds.
    void tick(const store_state& p_store, time_point p_now);
    /// Begins no more calls, and gives the lease back once none is in flight,
    /// as the node shuts down.
    void leave();
    /// Adds its figures to the node's metrics.
    void add_metrics(entry_metrics& r_metrics, time_point p_now) const;
    /// Number of calls to the store.
    [[nodiscard]] std::uint64_t store_calls() const
    {
        return lease_.request_count();
    }

    void on_peer_clock(const std::string& p_peer, std::int64_t p_unix_ms,
                       time_point p_now) override;
    void on_duty_report(const duty_report& p_report, time_point p_now) override;
    void on_sent(const std::vector<routing::prompt_part>& p_parts,
                 time_point p_now) override;

private:
    using send_callback = std::function<void(const backend::client_response&)>;
    using order_engine = capacity::engine_orders;

    [[nodiscard]] bool has_duty(const char* p_name) const;
    /// Whether this node is among the few that try to get the lease.
    [[nodiscard]] bool is_candidate(const store_state& p_store,
                                    time_point p_now) const;
    void update_lease(const store_state& p_store, time_point p_now);
    void log_lease_change(time_point p_now);
    void send_reports(time_point p_now);
    void tick_usage(time_point p_now);
    void send_usage(const usage_report& p_report, time_point p_now);
    void handle_usage(window_id p_window,
                      const backend::client_response& p_response);
    void tick_capacity(time_point p_now);
    [[nodiscard]] capacity::capacity_view
    view_of(const routing::service& p_service, time_point p_now) const;
    void send_order(const std::string& p_service,
                    const capacity::engine_order& p_order, time_point p_now);
    void handle_order(const std::string& p_service,
                      const capacity::engine_order& p_order,
                      const backend::client_response& p_response);
    /// Calls the platform's service, and gives up when the lease ends.
    void call_service(std::string p_request, time_point p_now,
                      const send_callback& p_callback);
    [[nodiscard]] capacity::demand_tracker::demand_by_service
    own_demand() const;

    const entry_settings& settings_;
    backend::buffered_client& client_;
    entry_gossip& gossip_;
    ingress::router& router_;
    boot_clock clock_;
    std::string run_; ///< Of this process, unique among restarts.
    lease_sync lease_;
    fleet_clock fleet_clock_;
    usage_counter counter_;
    usage_collector collector_;
    usage_reports reports_;
    capacity::demand_tracker demand_;
    capacity::working_set working_set_;
    std::map<std::string, order_engine> orders_; ///< By service.
    std::optional<time_point> held_since_;
    std::uint64_t logged_token_ = 0;
    std::optional<std::uint64_t> store_era_;
    bool collecting_ = false;
    /// Token under which the record of earlier holders was read.
    std::uint64_t loaded_token_ = 0;
    /// The store came back from an older copy since the record was read.
    bool record_may_be_old_ = false;
    bool usage_in_flight_ = false;
    bool leaving_ = false;
    std::uint64_t service_calls_ = 0;
    unsigned calls_in_flight_ = 0;
    std::uint64_t windows_reported_ = 0;
    time_point next_reports_{};
    time_point next_own_report_{};
    time_point next_expiry_{};
    time_point next_capacity_{};
    std::map<std::string, time_point> next_demand_; ///< By collector.
};

} // namespace peridotspar
