#include "daemon/entry_node.hpp"

#include "backend/buffered_client.hpp"
#include "core/log.hpp"
#include "daemon/entry_beliefs.hpp"
#include "daemon/entry_peers.hpp"
#include "daemon/kept_parts_survey.hpp"
#include "ingress/listener.hpp"
#include "ingress/router.hpp"
#include "platform/directory.hpp"
#include "platform/names.hpp"
#include "platform/object_calls.hpp"
#include "store/object_feed.hpp"

#include <csignal>
#include <random>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

constexpr duration tick_gap = 20ms;
/// One for the caller, one for the server, and some for all else.
constexpr std::uint32_t descriptors_per_caller = 3;
constexpr duration reload_gap = 1s;
/// Callers may use an address for so many times the age that they were told.
constexpr int ages_of_use = 3;
/// Kept free of the time that a process has to stop.
constexpr duration stop_margin = 500ms;
constexpr duration announce_limit = 2s;
/// Between tries to write this node's object.
constexpr duration announce_gap = 3s;
constexpr int ok = 200;
constexpr int created = 201;
constexpr int conflict = 409;
constexpr int unavailable = 503;
constexpr int not_found = 404;

/// Answers from a function; nothing takes time.
class instant_handler : public ingress::request_handler
{
public:
    using answerer = std::function<http::response(const http::request&)>;
    explicit instant_handler(answerer p_answer) : answer_(std::move(p_answer))
    {
    }
    std::shared_ptr<ingress::active_request>
    start(http::request p_request,
          std::shared_ptr<ingress::response_writer> p_reply) override
    {
        p_reply->send(answer_(p_request));
        return nullptr;
    }
    [[nodiscard]] http::response
    refuse_malformed(int p_status, const std::string& p_message) override
    {
        return {p_status, {}, p_message};
    }
    [[nodiscard]] bool is_leaving() const override { return false; }

private:
    answerer answer_;
};

} // namespace

struct entry_node::parts
{
    parts(entry_settings p_settings, std::string p_path);

    void tick();
    void schedule_tick();
    void await_signal();
    void take_signal(int p_signal);
    void reload_if_changed(time_point p_now);
    void survey_servers(const routing::server_list::entries& p_servers);
    void announce();
    void withdraw();
    void leave(time_point p_now);
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] http::response answer_readiness() const;
    [[nodiscard]] http::response
    answer_directory(const http::request& p_request);
    [[nodiscard]] http::response answer_metrics();
    [[nodiscard]] http::response answer_peer(const http::request& p_request);

    entry_settings settings_;
    std::string path_;
    boost::asio::io_context context_{1};
    boot_clock clock_;
    std::random_device device_;
    ingress::router router_;
    entry_beliefs beliefs_;
    backend::buffered_client calls_;
    kept_parts_survey survey_;
    object_feed config_feed_;
    object_feed server_feed_;
    entry_peers peers_;
    instant_handler readiness_handler_;
    instant_handler directory_handler_;
    instant_handler peer_handler_;
    instant_handler metrics_handler_;
    ingress::listener callers_;
    ingress::listener readiness_;
    ingress::listener directory_;
    ingress::listener peer_listener_;
    std::optional<ingress::listener> metrics_listener_;
    boost::asio::steady_timer timer_;
    boost::asio::signal_set signals_;
    time_point next_reload_{};
    time_point next_announce_{};
    std::optional<time_point> leaving_since_;
    bool announced_ = false;
    bool surveyed_ = false;
    bool stopped_ = false;
};

namespace
{

ingress::router_options router_options_of(const entry_settings& p_settings,
                                          std::uint64_t p_seed)
{
    ingress::router_options options;
    options.failure_domain_ = p_settings.failure_domain_;
    options.resends_ = {p_settings.resend_ratio_, p_settings.resend_slack_,
                        p_settings.resend_window_};
    options.seed_ = p_seed;
    return options;
}

} // namespace

entry_node::parts::parts(entry_settings p_settings, std::string p_path)
    : settings_(std::move(p_settings)),
      path_(std::move(p_path)),
      router_(context_, router_options_of(settings_, device_())),
      beliefs_({[this](auto p_table)
                {
                    router_.set_route_table(p_table);
                    survey_servers(router_.servers());
                },
                [this](const auto& p_servers)
                {
                    router_.set_servers(p_servers);
                    survey_servers(p_servers);
                }},
               settings_.drain_time_),
      calls_(context_),
      survey_(calls_, router_.placement()),
      config_feed_(calls_, settings_.store_,
                   std::string(platform::names::config_kind), beliefs_,
                   device_()),
      server_feed_(calls_, settings_.store_,
                   std::string(platform::names::servers_kind), beliefs_,
                   device_()),
      peers_(context_,
             {settings_.name_, settings_.callers_, settings_.peers_,
              settings_.failure_domain_},
             beliefs_, router_, calls_),
      readiness_handler_([this](const auto&) { return answer_readiness(); }),
      directory_handler_([this](const auto& p_request)
                         { return answer_directory(p_request); }),
      peer_handler_([this](const auto& p_request)
                    { return answer_peer(p_request); }),
      metrics_handler_([this](const auto&) { return answer_metrics(); }),
      callers_(
          context_, settings_.callers_,
          router_, [this]() -> const auto& { return router_.limits(); }),
      readiness_(
          context_, settings_.readiness_, readiness_handler_,
          [this]() -> const auto& { return router_.limits(); }),
      directory_(
          context_, settings_.directory_, directory_handler_,
          [this]() -> const auto& { return router_.limits(); }),
      peer_listener_(
          context_, settings_.peers_,
          peer_handler_, [this]() -> const auto& { return router_.limits(); }),
      timer_(context_),
      signals_(context_, SIGTERM, SIGINT, SIGHUP)
{
    for (const auto& seed : settings_.seeds_)
    {
        peers_.add_candidate(seed);
    }
    if (!settings_.metrics_.empty())
    {
        metrics_listener_.emplace(
            context_, settings_.metrics_,
            metrics_handler_, [this]() -> const auto& {
                return router_.limits();
            });
    }
    callers_.set_max_connections(settings_.descriptors_ /
                                 descriptors_per_caller);
    next_reload_ = clock_.now() + reload_gap;
    await_signal();
    schedule_tick();
    log_event(log_level::info, "node.started")
        .with("node", settings_.name_.value())
        .with("callers", settings_.callers_);
}

bool entry_node::parts::is_ready() const
{
    return beliefs_.are_complete() && !leaving_since_;
}

http::response entry_node::parts::answer_readiness() const
{
    http::response answer;
    answer.status_ = is_ready() ? 200 : unavailable;
    return answer;
}

http::response
entry_node::parts::answer_directory(const http::request& p_request)
{
    http::response answer;
    if (!platform::asks_directory(p_request.head_.target_))
    {
        answer.status_ = not_found;
        return answer;
    }
    std::vector<std::string> addresses;
    if (is_ready())
    {
        addresses.push_back(settings_.callers_);
    }
    for (const auto& peer : peers_.live())
    {
        if (peer.ready_ && !peer.leaving_)
        {
            addresses.push_back(peer.callers_);
        }
    }
    if (addresses.empty())
    {
        answer.status_ = unavailable;
        return answer;
    }
    return platform::directory_answer(addresses, settings_.directory_age_);
}

http::response entry_node::parts::answer_metrics()
{
    auto& metrics = router_.metrics();
    metrics.set("open_requests", static_cast<double>(router_.open_requests()));
    metrics.set("waiting_requests",
                static_cast<double>(router_.waiting_requests()));
    metrics.set("live_peers", static_cast<double>(peers_.live().size()));
    metrics.set("config_version",
                static_cast<double>(beliefs_.config_version()));
    metrics.set("servers_revision",
                static_cast<double>(beliefs_.servers_revision()));
    metrics.set("store_calls", static_cast<double>(config_feed_.calls() +
                                                   server_feed_.calls()));
    metrics.set("store_in_contact", config_feed_.is_in_contact() ? 1 : 0);
    metrics.set("bytes_to_peers", static_cast<double>(peers_.bytes_sent()));
    metrics.set("server_connections_opened",
                static_cast<double>(router_.connections_opened()));
    metrics.set("dropped_log_lines", static_cast<double>(dropped_log_lines()));
    http::response answer;
    answer.headers_.push_back({"Content-Type", "text/plain; version=0.0.4"});
    answer.body_ = metrics.to_text();
    return answer;
}

http::response entry_node::parts::answer_peer(const http::request& p_request)
{
    return peers_.beliefs_answer(p_request.head_.target_);
}

void entry_node::parts::schedule_tick()
{
    timer_.expires_after(tick_gap);
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

void entry_node::parts::tick()
{
    const time_point now = clock_.now();
    const bool follow = peers_.should_follow_store(now);
    config_feed_.set_active(follow);
    server_feed_.set_active(follow);
    peers_.set_in_contact(config_feed_.is_in_contact() &&
                          server_feed_.is_in_contact());
    config_feed_.tick(now);
    server_feed_.tick(now);
    calls_.tick(now);
    beliefs_.tick(now);
    router_.set_live_nodes(peers_.live().size() + 1);
    router_.tick();
    peers_.set_state(is_ready(), leaving_since_.has_value());
    peers_.tick(now);
    callers_.tick(now);
    readiness_.tick(now);
    directory_.tick(now);
    peer_listener_.tick(now);
    if (metrics_listener_)
    {
        metrics_listener_->tick(now);
    }
    reload_if_changed(now);
    if (!announced_ && beliefs_.are_complete() && now >= next_announce_)
    {
        announce();
    }
    if (leaving_since_)
    {
        leave(now);
    }
}

void entry_node::parts::survey_servers(
    const routing::server_list::entries& p_servers)
{
    // Servers that come later start with an empty memory.
    if (settings_.first_start_ || !router_.has_route_table() || surveyed_ ||
        p_servers.empty())
    {
        return;
    }
    surveyed_ = true;
    survey_.ask(p_servers);
}

void entry_node::parts::announce()
{
    next_announce_ = clock_.now() + announce_gap;
    const std::string kind(platform::names::nodes_kind);
    calls_.send(settings_.store_,
                platform::create_call(settings_.store_, kind, settings_.peers_,
                                      platform::write_node(settings_.peers_)),
                announce_limit,
                [this](const backend::client_response& p_answer)
                {
                    // One that started here before may stand there yet.
                    announced_ = p_answer.status_ == created ||
                                 p_answer.status_ == ok ||
                                 p_answer.status_ == conflict;
                    log_event(log_level::info, "node.announced")
                        .with("status", p_answer.status_);
                });
    calls_.send(
        settings_.store_, platform::list_call(settings_.store_, kind, "", true),
        announce_limit,
        [this](const backend::client_response& p_answer)
        {
            const auto page = platform::read_page(p_answer.body_);
            if (!page)
            {
                // Seeds and peers' words remain.
                log_event(log_level::info, "nodes.unlisted")
                    .with("status", p_answer.status_);
                return;
            }
            for (const auto& object : page->objects_)
            {
                peers_.add_candidate(platform::read_node(object.document_));
            }
        });
}

void entry_node::parts::withdraw()
{
    calls_.send(settings_.store_,
                platform::remove_call(settings_.store_,
                                      std::string(platform::names::nodes_kind),
                                      settings_.peers_),
                announce_limit, [](const backend::client_response&) {});
}

void entry_node::parts::reload_if_changed(time_point p_now)
{
    if (p_now < next_reload_)
    {
        return;
    }
    next_reload_ = p_now + reload_gap;
    const auto loaded = load_entry_settings(path_);
    if (!loaded)
    {
        log_event(log_level::error, "settings.unreadable")
            .with("error", loaded.error());
        return;
    }
    for (const auto& seed : loaded->seeds_)
    {
        peers_.add_candidate(seed);
    }
}

void entry_node::parts::await_signal()
{
    signals_.async_wait(
        [this](const boost::system::error_code& p_error, int p_signal)
        {
            if (p_error)
            {
                return;
            }
            take_signal(p_signal);
            await_signal();
        });
}

void entry_node::parts::take_signal(int p_signal)
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
    router_.set_leaving();
    withdraw();
}

void entry_node::parts::leave(time_point p_now)
{
    const duration age = p_now - *leaving_since_;
    const duration in_use = settings_.directory_age_ * ages_of_use;
    if (age >= in_use)
    {
        router_.refuse_new_streams();
    }
    const bool done = age >= in_use && router_.open_requests() == 0 &&
                      !callers_.has_unsent_data();
    const bool over = age >= settings_.stop_grace_ - stop_margin;
    if (done || over)
    {
        callers_.close_idle();
        stopped_ = true;
        context_.stop();
    }
}

entry_node::entry_node(entry_settings p_settings, std::string p_path)
    : parts_(std::make_unique<parts>(std::move(p_settings), std::move(p_path)))
{
}

entry_node::~entry_node() = default;

void entry_node::run()
{
    parts_->context_.run();
    log_event(log_level::info, "node.stopped")
        .with("open", parts_->router_.open_requests());
}

} // namespace peridotspar
