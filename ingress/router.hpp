#pragma once

#include "dispatch/admission_controller.hpp"
#include "dispatch/peer_queues.hpp"
#include "dispatch/resend_loans.hpp"
#include "dispatch/urgency_scale.hpp"
#include "dispatch/wait_queue.hpp"
#include "ingress/crash_check.hpp"
#include "ingress/exchange.hpp"
#include "ingress/reach_probe.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

namespace peridotspar::ingress
{

struct router_options
{
    failure_domain_id failure_domain_;
    dispatch::resend_limits resend_limits_;
    /// Rate of this node's own link; 0 if it isn't known.
    double link_bytes_per_s_ = 0;
    /// Seeds the random choices of services and servers.
    std::uint64_t seed_ = 1;
};

/// When a node that shuts down stops to take and to serve requests.
struct leave_times
{
    /// Callers may use its address until then, so it takes all requests.
    time_point accepts_all_until_{};
    /// All requests have their answers by then, so that the process can end.
    time_point answers_until_{};
};

/// Serves callers' requests: resolves route and client account, admits or
/// refuses each request, and queues it until a server can take it. Use only
/// from the thread that runs `p_context`.
class router : public request_handler, public exchange_owner
{
public:
    router(boost::asio::io_context& p_context, const router_options& p_options);

    /// Replaces the configuration.
    void
    set_route_table(std::shared_ptr<const routing::route_table> p_route_table);
    void set_servers(const routing::server_list::entries& p_servers);
    /// Sets how many nodes, including this one, share servers and retry budget.
    void set_live_node_count(std::size_t p_live_node_count);
    /// Marks the node as shutting down: responses close their connections.
    /// Requests that it may not finish, by their deadlines, are refused from
    /// `accepts_all_until_` on, new ones as well as waiting ones; and all new
    /// streams, as they take long.
    void set_leaving(const leave_times& p_times) { leaving_ = p_times; }
    /// Answers all open requests: those that haven't run with a refusal, and
    /// those that may have with an error. Cuts off streams.
    void end_all();

    std::shared_ptr<active_request>
    start(http::request p_request,
          std::shared_ptr<response_writer> p_writer) override;
    /// Starts a request that a peer handed over. It is sent to servers only,
    /// and counts in the peer's share of the resend budget.
    std::shared_ptr<active_request>
    start_from_peer(http::request p_request,
                    const std::shared_ptr<response_writer>& p_writer);
    /// The response to a request that an unknown node handed over.
    [[nodiscard]] static http::response
    refuse_handover(const std::string& p_attempt);
    /// Whether a request on the peers' port was handed over by a node.
    [[nodiscard]] static bool is_from_peer(const http::request& p_request);
    [[nodiscard]] http::response
    refuse_malformed(int p_status, const std::string& p_message) override;
    [[nodiscard]] bool is_leaving() const override
    {
        return leaving_.has_value();
    }

    /// Enforces time limits and sends queued requests. Call periodically.
    void tick();

    [[nodiscard]] const routing::caller_limits& limits() const;
    [[nodiscard]] const routing::server_list::entries& servers() const
    {
        return servers_;
    }
    /// The retry budget, for the exchange of its parts with peers.
    [[nodiscard]] dispatch::resend_loans& resends() { return resends_; }
    [[nodiscard]] bool has_route_table() const
    {
        return route_table_ != nullptr;
    }
    /// Bytes of answers that open requests keep in memory.
    [[nodiscard]] std::size_t kept_bytes() const;
    /// Bytes of open requests in memory.
    [[nodiscard]] std::size_t kept_request_bytes() const;
    [[nodiscard]] std::size_t open_requests() const
    {
        return open_requests_.size();
    }
    [[nodiscard]] std::uint64_t connections_opened() const
    {
        return pool_.connections_opened();
    }

    [[nodiscard]] entry_metrics& metrics() { return metrics_; }
    [[nodiscard]] std::size_t waiting_requests() const { return queue_.size(); }

    // State that is exchanged with peers.

    /// Returns the sends since the last call.
    [[nodiscard]] std::vector<dispatch::sent_report> take_sent_reports();
    [[nodiscard]] bool has_sent_reports() const
    {
        return !sent_reports_.empty();
    }
    [[nodiscard]] dispatch::server_loads own_loads() const
    {
        return placement_.servers().own_loads();
    }
    [[nodiscard]] std::vector<dispatch::queue_summary> queue_summaries() const
    {
        return queue_.summaries();
    }
    dispatch::peer_queues& peer_queues() { return peer_queues_; }
    dispatch::placement& placement() override { return placement_; }
    dispatch::link_budget& link() override { return link_budget_; }
    /// The origins of streams, which the owner keeps in step with the store.
    routing::stream_versions& streams() override { return streams_; }
    /// The configuration in force; null if none is known.
    [[nodiscard]] const routing::route_table* route_table() const
    {
        return route_table_.get();
    }
    quarantine::crash_attribution& crashes() override { return crashes_; }
    dispatch::service_reach& reach() override { return reach_; }
    dispatch::handover_policy& handovers() override { return handovers_; }
    void record_lost_call(const routing::server_entry& p_server,
                          std::vector<quarantine::suspect> p_suspects) override;

    // What duties of one node need to know of all nodes' requests.

    /// Called with the client account of each request that a server began to
    /// run; requests without an account aren't told.
    using begin_callback = std::function<void(const routing::account_name&)>;
    void set_begin_callback(begin_callback p_callback)
    {
        on_begun_ = std::move(p_callback);
    }
    /// Called with the prompt parts of each request that is sent.
    using sent_callback =
        std::function<void(const std::vector<routing::prompt_part>&)>;
    void set_sent_callback(sent_callback p_callback)
    {
        on_sent_ = std::move(p_callback);
    }
    /// What this node's requests ask of a service.
    struct service_demand
    {
        duration prefill_{};   ///< Engine time for prefill since the start.
        unsigned streams_ = 0; ///< That run or wait.
    };
    [[nodiscard]] std::map<routing::service_name, service_demand>
    demand() const;

private:
    // exchange_owner:
    [[nodiscard]] time_point now() const override { return clock_.now(); }
    [[nodiscard]] time_point awake_since() const override
    {
        return awake_since_;
    }
    backend::connection_pool& pool() override { return pool_; }
    backend::connection_pool& peer_pool() override { return peer_pool_; }
    [[nodiscard]] bool
    is_reached(const dispatch::request_profile& p_profile) const override;
    [[nodiscard]] bool
    can_finish(const dispatch::request_profile& p_profile) const override;
    [[nodiscard]] bool
    try_consume_resend(const routing::service_name& p_service) override;
    [[nodiscard]] bool
    try_consume_resume(const routing::service_name& p_service,
                       dispatch::queued_request_id p_request) override;
    void record_sent(const dispatch::request_profile& p_profile,
                     const dispatch::assignment& p_assignment) override;
    [[nodiscard]] duration
    retry_after(const dispatch::request_profile& p_profile) override;
    void limit_kept_bytes() override;
    void record_begun(
        const std::optional<routing::account_name>& p_account) override;
    void leave_queue(exchange& p_exchange) override;
    void on_done(exchange& p_exchange,
                 const request_outcome& p_outcome) override;

    /// A request to go on with a stream whose origin isn't known yet.
    struct take_up
    {
        std::shared_ptr<exchange> exchange_;
        time_point asked_at_{};
    };
    /// Registers a planned request and starts it.
    std::shared_ptr<active_request>
    start_planned(exchange_plan p_plan,
                  const std::shared_ptr<response_writer>& p_writer);
    /// Closes idle connections to a service that was lost, and refuses the
    /// requests that a peer handed over and that wait for it.
    void leave_service(const routing::service_name& p_service);
    /// Sends the request, queues it or refuses it.
    void admit(const std::shared_ptr<exchange>& p_exchange);
    /// Whether requests of this kind go to peers, as this node doesn't reach
    /// their service and a peer does.
    [[nodiscard]] bool
    waits_for_peer(const dispatch::request_profile& p_profile);
    /// Sends the request, or hands it over, if that is possible now.
    [[nodiscard]] bool try_dispatch(exchange& r_exchange);
    /// When a request that can't be answered in time should come back.
    [[nodiscard]] std::optional<duration>
    find_refusal(const dispatch::request_profile& p_profile,
                 duration p_queued_at_peers);
    /// Admits a request to go on with a stream once its origin is known.
    void start_take_up(const std::shared_ptr<exchange>& p_exchange);
    /// Admits it at its stream's origin only. `p_age`: since the origin is
    /// known.
    void admit_at_origin(const std::shared_ptr<exchange>& p_exchange,
                         const routing::stream_origin& p_origin,
                         std::string_view p_source, duration p_age);
    /// Admits it if this node knows its stream's origin. What came from the
    /// store counts only with `p_from_store`: its writer may have replaced it.
    [[nodiscard]] bool
    try_admit_known(const std::shared_ptr<exchange>& p_exchange,
                    bool p_from_store);
    /// Admits or refuses it if its stream's origin is known or remains unknown.
    /// False while that is open.
    [[nodiscard]] bool try_resolve(const take_up& p_take_up, time_point p_now);
    void resolve_take_ups(time_point p_now);
    /// Time until this node's link can take the request.
    [[nodiscard]] duration
    link_wait(const dispatch::request_profile& p_profile) const;
    /// Resolves a request; the error is the response that refuses it.
    [[nodiscard]] tl::expected<exchange_plan, http::response>
    make_plan(http::request p_request);
    [[nodiscard]] dispatch::request_profile
    make_profile(const exchange_plan& p_plan);
    /// Draws one of the route's services at random, by weight.
    [[nodiscard]] routing::service_name
    choose_service(const routing::route& p_route);
    [[nodiscard]] std::vector<std::shared_ptr<exchange>>
    queued_requests() const;
    /// A copy, as a request that ends is removed.
    [[nodiscard]] std::vector<std::shared_ptr<exchange>> all_requests() const;
    /// Sends queued requests that a server can take now.
    void serve_waiting();
    /// Logs quarantines that began or ended, and refuses queued requests with
    /// what is quarantined.
    void apply_quarantine_changes();
    /// Logs the services that this node lost or regained.
    void apply_reach_changes();
    /// Refuses queued requests that no server can answer in time any more.
    void refuse_unservable();
    /// On a leaving node, refuses waiting requests that it may not finish.
    void refuse_unfinishable();

    boot_clock clock_;
    std::mt19937_64 random_;
    std::shared_ptr<const routing::route_table> route_table_;
    routing::server_list::entries servers_;
    backend::connection_pool pool_;
    backend::connection_pool peer_pool_;
    dispatch::placement placement_;
    dispatch::admission_controller admission_;
    dispatch::urgency_scale urgency_;
    dispatch::wait_queue queue_;
    dispatch::peer_queues peer_queues_;
    dispatch::resend_loans resends_;
    dispatch::link_budget link_budget_;
    routing::stream_versions streams_;
    std::vector<take_up> take_ups_; ///< Whose streams' origins are open.
    quarantine::crash_attribution crashes_;
    dispatch::service_reach reach_;
    dispatch::handover_policy handovers_;
    reach_probe reach_probe_;
    crash_check crash_check_;
    entry_metrics metrics_;
    std::vector<dispatch::sent_report> sent_reports_;
    begin_callback on_begun_;
    sent_callback on_sent_;
    std::map<routing::service_name, duration> prefill_demand_;
    std::unordered_map<dispatch::queued_request_id, std::shared_ptr<exchange>>
        open_requests_;
    dispatch::queued_request_id next_id_ = 1;
    time_point last_tick_{};
    time_point awake_since_{};
    time_point next_unservable_check_{};
    time_point next_crash_check_{};
    std::size_t live_nodes_ = 1;
    std::optional<leave_times> leaving_;
};

} // namespace peridotspar::ingress
