#include "daemon/entry_node.hpp"

#include "backend/buffered_client.hpp"
#include "core/log.hpp"
#include "daemon/duty_runner.hpp"
#include "daemon/entry_gossip.hpp"
#include "daemon/node_discovery.hpp"
#include "daemon/prefix_cache_probe.hpp"
#include "daemon/routing_state.hpp"
#include "daemon/stream_version_sync.hpp"
#include "ingress/listener.hpp"
#include "ingress/router.hpp"
#include "membership/entry_selection.hpp"
#include "platform/directory.hpp"
#include "platform/documents.hpp"
#include "platform/names.hpp"
#include "platform/object_calls.hpp"
#include "platform/request_headers.hpp"
#include "store/object_watcher.hpp"

#include <csignal>
#include <random>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

constexpr duration tick_interval = 20ms;
/// A later tick is logged: events waited as long as it for their turn.
constexpr duration max_tick_delay = 100ms;
/// File descriptors for each caller connection: one for the connection itself,
/// one for that to the backend server, and one for everything else.
constexpr std::uint32_t descriptors_per_connection = 3;
constexpr duration reload_interval = 1s;
/// Callers may use an address from the directory for this many times the
/// maximum age that the directory gave them.
constexpr int directory_ages_in_use = 3;
/// Part of the stop grace period that is left unused, so that the process ends
/// before it is killed.
constexpr duration stop_margin = 500ms;
/// Time before the end in which the last answers are written.
constexpr duration last_answers_time = 200ms;
constexpr duration announce_timeout = 2s;
/// Interval between attempts to register this node in the store.
constexpr duration announce_retry_interval = 3s;
/// A node without live peers looks for nodes registered in the store this long
/// after its start, and then at this interval.
constexpr duration first_discovery_delay = 600ms;
constexpr duration lone_discovery_interval = 1s;
/// Interval at which a node that follows the store looks there for nodes that
/// don't know it yet.
constexpr duration follower_discovery_interval = 10s;
/// A node asks engines for their caches this long after it knows them, as it
/// must know by then how many other nodes ask.
constexpr duration cache_probe_delay = 500ms;
constexpr double bits_per_megabit = 1e6;
constexpr double bits_per_byte = 8;
/// Room for the headers that a node adds to a request that it hands over.
constexpr std::size_t handover_header_bytes = 512;
/// Longer than nodes keep an idle connection to a peer.
constexpr duration peer_idle_timeout = 30s;
constexpr int ok = 200;
constexpr int created = 201;
constexpr int conflict = 409;
constexpr int unavailable = 503;
constexpr int not_found = 404;

/// Calls a function for each request and sends its result at once.
class synchronous_handler : public ingress::request_handler
{
public:
    using responder = std::function<http::response(const http::request&)>;
    explicit synchronous_handler(responder p_respond)
        : respond_(std::move(p_respond))
    {
    }
    std::shared_ptr<ingress::active_request>
    start(http::request p_request,
          std::shared_ptr<ingress::response_writer> p_writer) override
    {
        p_writer->send(respond_(p_request));
        return nullptr;
    }
    [[nodiscard]] http::response
    refuse_malformed(int p_status, const std::string& p_message) override
    {
        return {p_status, {}, p_message};
    }
    [[nodiscard]] bool is_leaving() const override { return false; }

private:
    responder respond_;
};

/// Serves peers: requests that they hand over, and their questions for newer
/// routing state.
class peer_request_handler : public ingress::request_handler
{
public:
    peer_request_handler(ingress::router& p_router, entry_gossip& p_gossip)
        : router_(p_router), gossip_(p_gossip)
    {
    }
    std::shared_ptr<ingress::active_request>
    start(http::request p_request,
          std::shared_ptr<ingress::response_writer> p_writer) override
    {
        if (!ingress::router::is_from_peer(p_request))
        {
            p_writer->send(gossip_.routing_state_response(p_request.head_));
            return nullptr;
        }
        const std::string sender = p_writer->remote_ip();
        if (!gossip_.is_peer_ip(sender))
        {
            log_event(log_level::warning, "handover.rejected")
                .with("from", sender);
            p_writer->send(ingress::router::refuse_handover(
                platform::attempt_of(p_request.head_)));
            return nullptr;
        }
        return router_.start_from_peer(std::move(p_request), p_writer);
    }
    [[nodiscard]] http::response
    refuse_malformed(int p_status, const std::string& p_message) override
    {
        return router_.refuse_malformed(p_status, p_message);
    }
    [[nodiscard]] bool is_leaving() const override
    {
        return router_.is_leaving();
    }

private:
    ingress::router& router_;
    entry_gossip& gossip_;
};

bool is_config(const object_record& p_object)
{
    return p_object.name_ == platform::names::config_name;
}

bool is_server(const object_record& p_object)
{
    return platform::parse_server(p_object.name_, p_object.document_)
        .has_value();
}

} // namespace

struct entry_node::impl
{
    impl(entry_settings p_settings, std::string p_settings_path);

    void tick();
    void schedule_tick();
    /// Logs a tick that came late, as all events of this thread did then.
    void check_tick_delay(time_point p_now);
    void await_signal();
    void handle_signal(int p_signal);
    /// Reads the settings again if that is due and adds their seeds.
    void reload_if_due(time_point p_now);
    /// Asks engines which prompt parts they cache, once, a short time after
    /// this node knows the servers.
    void probe_prefix_caches_if_due(time_point p_now);
    /// Activates the watchers if this node should follow the store, and records
    /// what it answers.
    void follow_store(time_point p_now);
    /// Bounds the watches' waits and checks them if they may be silent.
    void check_watches(const store_contact& p_contact, time_point p_now);
    /// Registers this node in the store if it follows it, so that nodes without
    /// a running seed find the fleet, and looks there for other nodes, each if
    /// that is due.
    void register_and_discover(time_point p_now);
    /// Registers this node in the store.
    void announce();
    /// Removes this node from the store.
    void withdraw();
    /// Ends run() once callers can't hold this node's address any more and all
    /// answers are delivered. Shortly before the stop grace period ends,
    /// answers what is open, and ends it then.
    void stop_if_drained(time_point p_now);
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] http::response answer_readiness() const;
    [[nodiscard]] http::response
    answer_directory(const http::request& p_request);
    [[nodiscard]] http::response answer_metrics();
    /// Limits of peers' requests: those of callers, with room for the headers
    /// that the peer adds.
    [[nodiscard]] const routing::caller_limits& peer_limits();

    entry_settings settings_;
    std::string settings_path_;
    boost::asio::io_context context_{1};
    boot_clock clock_;
    std::random_device random_device_;
    ingress::router router_;
    routing_state routing_state_;
    backend::buffered_client client_;
    prefix_cache_probe prefix_cache_probe_;
    stream_version_sync stream_version_sync_;
    object_watcher config_watcher_;
    object_watcher server_watcher_;
    entry_gossip gossip_;
    node_discovery node_discovery_;
    std::optional<duty_runner> duties_; ///< If the deployment has any.
    synchronous_handler readiness_handler_;
    synchronous_handler directory_handler_;
    peer_request_handler peer_handler_;
    synchronous_handler metrics_handler_;
    ingress::listener caller_listener_;
    ingress::listener readiness_listener_;
    ingress::listener directory_listener_;
    ingress::listener peer_listener_;
    std::optional<ingress::listener> metrics_listener_;
    boost::asio::steady_timer timer_;
    boost::asio::signal_set signals_;
    time_point tick_due_{};
    duration longest_tick_delay_{}; ///< Since the metrics were last read.
    time_point next_reload_{};
    time_point next_announce_{};
    time_point next_discovery_{};
    std::optional<time_point> leaving_since_;
    std::optional<time_point> ending_since_; ///< All requests are answered.
    routing::caller_limits peer_limits_;
    bool announced_ = false;
    std::uint64_t announced_era_ = 0; ///< Of the store, when it announced.
    /// Set once this node knows the servers.
    std::optional<time_point> probe_due_at_;
    bool prefix_caches_probed_ = false;
    bool stopped_ = false;
};

namespace
{

dispatch::paced_services paced_services_of(const std::string& p_setting)
{
    using dispatch::paced_services;
    if (p_setting == "all")
    {
        return paced_services::all;
    }
    return p_setting == "ordered" ? paced_services::ordered
                                  : paced_services::none;
}

ingress::router_options router_options_of(const entry_settings& p_settings,
                                          std::uint64_t p_seed)
{
    ingress::router_options options;
    options.failure_domain_ = p_settings.failure_domain_;
    options.resend_limits_ = {p_settings.resend_ratio_,
                              p_settings.resend_slack_,
                              p_settings.resend_window_};
    options.link_bytes_per_s_ =
        p_settings.link_mbps_ * bits_per_megabit / bits_per_byte;
    options.seed_ = p_seed;
    return options;
}

} // namespace

entry_node::impl::impl(entry_settings p_settings, std::string p_settings_path)
    : settings_(std::move(p_settings)),
      settings_path_(std::move(p_settings_path)),
      router_(context_, router_options_of(settings_, random_device_())),
      routing_state_(
          {[this](auto p_table) { router_.set_route_table(p_table); },
           [this](const auto& p_servers) { router_.set_servers(p_servers); }},
          settings_.drain_time_, settings_.heartbeat_),
      client_(context_),
      prefix_cache_probe_(client_, router_.placement(), random_device_()),
      stream_version_sync_(client_, router_.streams(),
                           {settings_.store_, settings_.peers_,
                            settings_.first_start_, random_device_()}),
      config_watcher_(client_,
                      {settings_.store_,
                       std::string(platform::names::config_kind), is_config,
                       random_device_()},
                      routing_state_),
      server_watcher_(client_,
                      {settings_.store_,
                       std::string(platform::names::servers_kind), is_server,
                       random_device_()},
                      routing_state_),
      gossip_(context_,
              {settings_.name_, settings_.callers_, settings_.peers_,
               settings_.failure_domain_},
              routing_state_, router_, client_, settings_.first_start_,
              random_device_()),
      node_discovery_(client_, settings_.store_,
                      [this](const std::string& p_peer)
                      { gossip_.add_candidate(p_peer); }),
      readiness_handler_([this](const auto&) { return answer_readiness(); }),
      directory_handler_([this](const auto& p_request)
                         { return answer_directory(p_request); }),
      peer_handler_(router_, gossip_),
      metrics_handler_([this](const auto&) { return answer_metrics(); }),
      caller_listener_(
          context_, settings_.callers_,
          router_, [this]() -> const auto& { return router_.limits(); }),
      readiness_listener_(
          context_, settings_.readiness_, readiness_handler_,
          [this]() -> const auto& { return router_.limits(); }),
      directory_listener_(
          context_, settings_.directory_, directory_handler_,
          [this]() -> const auto& { return router_.limits(); }),
      peer_listener_(
          context_, settings_.peers_,
          peer_handler_, [this]() -> const auto& { return peer_limits(); }),
      timer_(context_),
      signals_(context_, SIGTERM, SIGINT, SIGHUP)
{
    router_.placement().set_paced_services(
        paced_services_of(settings_.paced_start_));
    for (const auto& seed : settings_.seeds_)
    {
        gossip_.add_contact_point(seed);
    }
    if (!settings_.duty_service_.empty() && !settings_.duties_.empty())
    {
        duties_.emplace(settings_, client_, gossip_, router_);
    }
    if (!settings_.metrics_.empty())
    {
        metrics_listener_.emplace(
            context_, settings_.metrics_,
            metrics_handler_, [this]() -> const auto& {
                return router_.limits();
            });
    }
    caller_listener_.set_max_connections(settings_.descriptors_ /
                                         descriptors_per_connection);
    next_reload_ = clock_.now() + reload_interval;
    if (settings_.first_start_)
    {
        // No node has registered before.
        next_discovery_ = clock_.now() + first_discovery_delay;
    }
    await_signal();
    schedule_tick();
    log_event(log_level::info, "node.started")
        .with("node", settings_.name_.value())
        .with("callers", settings_.callers_);
}

bool entry_node::impl::is_ready() const
{
    return routing_state_.is_complete() && !leaving_since_;
}

http::response entry_node::impl::answer_readiness() const
{
    http::response response;
    response.status_ = is_ready() ? 200 : unavailable;
    return response;
}

http::response
entry_node::impl::answer_directory(const http::request& p_request)
{
    http::response response;
    const auto query = platform::parse_directory_query(p_request.head_.target_);
    if (!query)
    {
        response.status_ = not_found;
        return response;
    }
    std::vector<entry_candidate> candidates;
    if (is_ready())
    {
        candidates.push_back({settings_.callers_, settings_.failure_domain_});
    }
    for (const auto& peer : gossip_.live_peers())
    {
        if (peer.ready_ && !peer.leaving_ && gossip_.is_prompt(peer))
        {
            candidates.push_back({peer.caller_address_, peer.failure_domain_});
        }
    }
    if (candidates.empty())
    {
        response.status_ = unavailable;
        return response;
    }
    return platform::directory_response(
        select_entries(std::move(candidates), query->caller_domain_),
        settings_.directory_age_);
}

http::response entry_node::impl::answer_metrics()
{
    auto& metrics = router_.metrics();
    metrics.set_gauge("open_requests",
                      static_cast<double>(router_.open_requests()));
    metrics.set_gauge(
        "quarantined_keys",
        static_cast<double>(router_.crashes().quarantined_count()));
    metrics.set_gauge(
        "lost_services",
        static_cast<double>(router_.reach().lost_services().size()));
    metrics.set_gauge("handed_over_requests",
                      static_cast<double>(router_.handovers().in_flight()));
    metrics.set_gauge("kept_request_bytes",
                      static_cast<double>(router_.kept_request_bytes()));
    metrics.set_gauge("waiting_requests",
                      static_cast<double>(router_.waiting_requests()));
    metrics.set_gauge(
        "limited_servers",
        static_cast<double>(router_.placement().limits().count()));
    metrics.set_gauge(
        "paced_servers",
        static_cast<double>(
            router_.placement().servers().starts().pace().count()));
    metrics.set_gauge("live_peers",
                      static_cast<double>(gossip_.live_peers().size()));
    metrics.set_gauge("config_version",
                      static_cast<double>(routing_state_.config_version()));
    metrics.set_gauge("servers_revision",
                      static_cast<double>(routing_state_.servers_revision()));
    metrics.set_gauge("store_era",
                      static_cast<double>(config_watcher_.store_era()));
    metrics.set_gauge(
        "store_calls",
        static_cast<double>(config_watcher_.request_count() +
                            server_watcher_.request_count() +
                            stream_version_sync_.request_count() +
                            (duties_ ? duties_->store_calls() : 0)));
    if (duties_)
    {
        duties_->add_metrics(metrics, clock_.now());
    }
    metrics.set_gauge("store_in_contact",
                      config_watcher_.is_in_contact() ? 1 : 0);
    const time_point now = clock_.now();
    metrics.set_gauge("config_response_age_s",
                      to_seconds(now - config_watcher_.last_response_at()));
    metrics.set_gauge("servers_response_age_s",
                      to_seconds(now - server_watcher_.last_response_at()));
    metrics.set_gauge("store_confirmed_age_s",
                      to_seconds(now - gossip_.store_confirmed_at()));
    metrics.set_gauge("bytes_to_peers",
                      static_cast<double>(gossip_.bytes_sent()));
    metrics.set_gauge("server_connections_opened",
                      static_cast<double>(router_.connections_opened()));
    metrics.set_gauge(
        "longest_tick_delay_s",
        to_seconds(std::exchange(longest_tick_delay_, duration{})));
    metrics.set_gauge("dropped_log_lines",
                      static_cast<double>(dropped_log_lines()));
    http::response response;
    response.headers_.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body_ = metrics.to_text();
    return response;
}

const routing::caller_limits& entry_node::impl::peer_limits()
{
    peer_limits_ = router_.limits();
    peer_limits_.header_bytes_ += handover_header_bytes;
    peer_limits_.idle_timeout_ = peer_idle_timeout;
    return peer_limits_;
}

void entry_node::impl::schedule_tick()
{
    tick_due_ = clock_.now() + tick_interval;
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& p_error)
        {
            if (p_error)
            {
                return;
            }
            tick();
            if (!stopped_)
            {
                schedule_tick();
            }
        });
}

void entry_node::impl::check_tick_delay(time_point p_now)
{
    const duration delay = p_now - tick_due_;
    longest_tick_delay_ = std::max(longest_tick_delay_, delay);
    if (delay > max_tick_delay)
    {
        log_event(log_level::warning, "node.tick_late")
            .with("delay_ms", to_ms(delay))
            .with("open", router_.open_requests())
            .with("waiting", router_.waiting_requests());
    }
}

void entry_node::impl::tick()
{
    const time_point now = clock_.now();
    check_tick_delay(now);
    follow_store(now);
    client_.tick(now);
    routing_state_.tick(now);
    stream_version_sync_.tick(router_.route_table(),
                              config_watcher_.is_in_contact() &&
                                  server_watcher_.is_in_contact(),
                              now);
    router_.set_live_node_count(gossip_.live_nodes());
    router_.tick();
    gossip_.set_state(is_ready(), leaving_since_.has_value());
    gossip_.tick(now);
    caller_listener_.tick(now);
    readiness_listener_.tick(now);
    directory_listener_.tick(now);
    peer_listener_.tick(now);
    if (metrics_listener_)
    {
        metrics_listener_->tick(now);
    }
    reload_if_due(now);
    register_and_discover(now);
    probe_prefix_caches_if_due(now);
    gossip_.send_cache_reports(prefix_cache_probe_.take_reports());
    if (duties_)
    {
        duties_->tick(
            {config_watcher_.is_in_contact() && server_watcher_.is_in_contact(),
             config_watcher_.store_era()},
            now);
    }
    if (leaving_since_)
    {
        stop_if_drained(now);
    }
}

void entry_node::impl::follow_store(time_point p_now)
{
    store_contact contact;
    contact.in_contact_ =
        config_watcher_.is_in_contact() && server_watcher_.is_in_contact();
    contact.consecutive_failures_ =
        std::max(config_watcher_.consecutive_failures(),
                 server_watcher_.consecutive_failures());
    contact.confirmed_at_ = std::min(config_watcher_.last_response_at(),
                                     server_watcher_.last_response_at());
    contact.failed_at_ = std::max(config_watcher_.last_failure_at(),
                                  server_watcher_.last_failure_at());
    if (contact.failed_at_)
    {
        routing_state_.record_store_failure(*contact.failed_at_);
    }
    if (contact.in_contact_)
    {
        routing_state_.record_store_contact(
            contact.confirmed_at_, routing_state_.servers_revision(), "own");
    }
    const bool follow = gossip_.should_follow_store(contact, p_now);
    config_watcher_.set_active(follow);
    // While the store doesn't answer, one of the two watchers finds out.
    server_watcher_.set_active(follow && (config_watcher_.is_in_contact() ||
                                          server_watcher_.is_in_contact()));
    if (contact.in_contact_)
    {
        check_watches(contact, p_now);
    }
    config_watcher_.tick(p_now);
    server_watcher_.tick(p_now);
}

void entry_node::impl::check_watches(const store_contact& p_contact,
                                     time_point p_now)
{
    if (gossip_.take_list_due())
    {
        server_watcher_.list_now();
    }
    const auto decision = gossip_.check_store(p_contact, p_now);
    for (object_watcher* watcher : {&config_watcher_, &server_watcher_})
    {
        watcher->set_watch_wait(decision.watch_wait_);
        if (decision.check_now_)
        {
            watcher->check_now();
        }
    }
}

void entry_node::impl::register_and_discover(time_point p_now)
{
    if (leaving_since_)
    {
        return;
    }
    const bool in_contact =
        config_watcher_.is_in_contact() && server_watcher_.is_in_contact();
    if (in_contact && announced_era_ != config_watcher_.store_era())
    {
        announced_ = false; // The store may have lost it.
    }
    if (in_contact && !announced_ && p_now >= next_announce_)
    {
        announce();
    }
    const bool is_alone = gossip_.live_nodes() == 1;
    if ((in_contact || is_alone) && p_now >= next_discovery_)
    {
        next_discovery_ = p_now + (is_alone ? lone_discovery_interval
                                            : follower_discovery_interval);
        node_discovery_.start();
    }
}

void entry_node::impl::probe_prefix_caches_if_due(time_point p_now)
{
    // Engines that start later have empty prefix caches, as do all on the
    // system's first start.
    if (settings_.first_start_ || prefix_caches_probed_ ||
        !router_.has_route_table() || router_.servers().empty())
    {
        return;
    }
    probe_due_at_ = probe_due_at_.value_or(p_now + cache_probe_delay);
    if (p_now >= *probe_due_at_)
    {
        prefix_caches_probed_ = true;
        prefix_cache_probe_.probe(router_.servers(), gossip_.estimated_nodes());
    }
}

void entry_node::impl::announce()
{
    next_announce_ = clock_.now() + announce_retry_interval;
    announced_era_ = config_watcher_.store_era();
    const std::string kind(platform::names::nodes_kind);
    client_.send(
        settings_.store_,
        platform::create_request(settings_.store_, kind, settings_.peers_,
                                 platform::format_node(settings_.peers_)),
        announce_timeout,
        [this](const backend::client_response& p_response)
        {
            // A conflict means that the object of an earlier start at
            // this address still exists.
            announced_ = p_response.status_ == created ||
                         p_response.status_ == ok ||
                         p_response.status_ == conflict;
            log_event(log_level::info, "node.announced")
                .with("status", p_response.status_);
        });
}

void entry_node::impl::withdraw()
{
    if (!announced_)
    {
        return;
    }
    client_.send(settings_.store_,
                 platform::delete_request(
                     settings_.store_, std::string(platform::names::nodes_kind),
                     settings_.peers_),
                 announce_timeout, [](const backend::client_response&) {});
}

void entry_node::impl::reload_if_due(time_point p_now)
{
    if (p_now < next_reload_)
    {
        return;
    }
    next_reload_ = p_now + reload_interval;
    const auto loaded = load_entry_settings(settings_path_);
    if (!loaded)
    {
        log_event(log_level::error, "settings.unreadable")
            .with("error", loaded.error());
        return;
    }
    for (const auto& seed : loaded->seeds_)
    {
        gossip_.add_contact_point(seed);
    }
}

void entry_node::impl::await_signal()
{
    signals_.async_wait(
        [this](const boost::system::error_code& p_error, int p_signal)
        {
            if (p_error)
            {
                return;
            }
            handle_signal(p_signal);
            await_signal();
        });
}

void entry_node::impl::handle_signal(int p_signal)
{
    if (p_signal == SIGHUP)
    {
        log_event(log_level::info, "settings.reload").with("signal", "HUP");
        next_reload_ = {};
        return;
    }
    if (leaving_since_)
    {
        return;
    }
    log_event(log_level::info, "node.leaving")
        .with("open", router_.open_requests());
    leaving_since_ = clock_.now();
    const duration answers_time =
        settings_.stop_grace_ - stop_margin - last_answers_time;
    const duration address_in_use =
        settings_.directory_age_ * directory_ages_in_use;
    router_.set_leaving(
        {*leaving_since_ + std::min(address_in_use, answers_time),
         *leaving_since_ + answers_time});
    if (duties_)
    {
        duties_->leave();
    }
    withdraw();
}

void entry_node::impl::stop_if_drained(time_point p_now)
{
    const duration age = p_now - *leaving_since_;
    const duration address_in_use =
        settings_.directory_age_ * directory_ages_in_use;
    const bool is_last_call =
        age >= settings_.stop_grace_ - stop_margin - last_answers_time;
    if (is_last_call && !ending_since_)
    {
        log_event(log_level::info, "node.ending")
            .with("open", router_.open_requests())
            .with("waiting", router_.waiting_requests());
        ending_since_ = p_now;
        router_.end_all();
    }
    const bool drained = (age >= address_in_use || ending_since_) &&
                         router_.open_requests() == 0 &&
                         !caller_listener_.has_unsent_data() &&
                         !peer_listener_.has_unsent_data();
    // Counted from then, as a suspension may have used up the time before.
    const bool timed_out =
        ending_since_ && p_now - *ending_since_ >= last_answers_time;
    if (drained || timed_out)
    {
        caller_listener_.close_idle();
        stopped_ = true;
        context_.stop();
    }
}

entry_node::entry_node(entry_settings p_settings, std::string p_settings_path)
    : impl_(std::make_unique<impl>(std::move(p_settings),
                                   std::move(p_settings_path)))
{
}

entry_node::~entry_node() = default;

void entry_node::run()
{
    impl_->context_.run();
    log_event(log_level::info, "node.stopped")
        .with("open", impl_->router_.open_requests());
}

} // namespace peridotspar
