#include "daemon/node.hpp"

#include "core/log.hpp"
#include "daemon/admin_api.hpp"
#include "daemon/caller_api.hpp"
#include "daemon/config_manager.hpp"
#include "daemon/decision_loop.hpp"
#include "daemon/peer_exchange.hpp"
#include "daemon/platform_reader.hpp"
#include "observe/metrics.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t claim_thread_count = 4;
constexpr milliseconds stop_poll_interval{50};
/// Time in which every node learns that this node is leaving and removes it
/// from its entry list.
constexpr milliseconds leave_propagation_time{1500};
/// Maximum time that a leaving node waits for the store to record responses.
constexpr milliseconds max_record_wait{30000};

} // namespace

struct node::impl
{
    explicit impl(settings p_settings)
        : settings_(std::move(p_settings)),
          store_({settings_.platform_address_, settings_.platform_port_},
                 settings_.name_, settings_.platform_timeout_),
          claim_committer_(store_, claim_thread_count),
          decision_loop_(settings_.name_, settings_.failure_domain_, backends_,
                         [this](policy::action p_action)
                         { peer_exchange_.send(std::move(p_action)); }),
          peer_exchange_(settings_,
                         {[this](policy::event p_event)
                          { decision_loop_.post(std::move(p_event)); },
                          [this] { return config_manager_.current(); },
                          [this] { return load_percent(); }}),
          config_manager_(
              store_, {[this](std::shared_ptr<const snapshot> p_snapshot)
                       { apply_snapshot(std::move(p_snapshot)); },
                       [this] { return peer_exchange_.is_platform_reader(); },
                       [this](config_revision p_known)
                       { return peer_exchange_.fetch_config(p_known); }}),
          platform_reader_(store_, peer_exchange_, settings_.name_,
                           [this] { return config_manager_.current(); }),
          caller_api_({settings_, decision_loop_, backends_, claim_committer_,
                       burn_recorder_, metrics_}),
          admin_api_({settings_, config_manager_, peer_exchange_,
                      burn_recorder_, [this] { leaving_ = true; },
                      [this] { return decision_loop_.open_requests(); }})
    {
    }

    void apply_snapshot(std::shared_ptr<const snapshot> p_snapshot)
    {
        decision_loop_.set_snapshot(p_snapshot);
        caller_api_.set_snapshot(std::move(p_snapshot));
        peer_exchange_.schedule_admission_update();
    }

    [[nodiscard]] std::uint16_t load_percent() const
    {
        return static_cast<std::uint16_t>(caller_api_.in_progress() * 100 /
                                          settings_.worker_threads_);
    }

    void serve(http_exchange& r_exchange)
    {
        const std::string_view path = r_exchange.path();
        if (path == "/v1/entry")
        {
            serve_entry(r_exchange);
        }
        else if (path.starts_with("/v1/"))
        {
            caller_api_.serve(r_exchange);
        }
        else if (path.starts_with("/admin/v1/"))
        {
            admin_api_.serve(r_exchange);
        }
        else if (path == "/healthz")
        {
            r_exchange.send(200, "text/plain", "ok\n");
        }
        else if (path == "/readyz")
        {
            const bool ready =
                config_manager_.current() != nullptr && !leaving_;
            r_exchange.send(ready ? 200 : 503, "text/plain",
                            ready ? "ready\n" : "not ready\n");
        }
        else if (path == "/metrics")
        {
            serve_metrics(r_exchange);
        }
        else
        {
            r_exchange.send(404, "application/json",
                            "{\"error\":{\"code\":\"unknown_path\"}}");
        }
    }

    void serve_entry(http_exchange& r_exchange)
    {
        json addresses = json::array();
        for (const auto& state : peer_exchange_.entry_list())
        {
            addresses.push_back(
                {{"address",
                  state.address_ + ":" + std::to_string(state.http_port_)},
                 {"failure_domain", state.failure_domain_.value()}});
        }
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
            settings_.entry_max_age_);
        r_exchange.send(
            200, "application/json",
            json{{"addresses", addresses},
                 {"max_age_ms", settings_.entry_max_age_.count()}}
                .dump(),
            {{"Cache-Control", "max-age=" + std::to_string(seconds.count())}});
    }

    void serve_metrics(http_exchange& r_exchange)
    {
        const auto& calls = store_.call_counts();
        const auto set_store_calls = [this](const char* p_kind, double p_value)
        { metrics_.set_gauge("store_calls", p_kind, p_value); };
        set_store_calls("get", static_cast<double>(calls.gets_));
        set_store_calls("put", static_cast<double>(calls.puts_));
        set_store_calls("watch", static_cast<double>(calls.watches_));
        set_store_calls("vms", static_cast<double>(calls.vm_lists_));
        set_store_calls("failed", static_cast<double>(calls.failures_));
        const auto sent = peer_exchange_.traffic_sent();
        metrics_.set_gauge("peers", "bytes", static_cast<double>(sent.bytes_));
        metrics_.set_gauge("peers", "messages",
                           static_cast<double>(sent.messages_));
        metrics_.set_gauge("requests", "open",
                           static_cast<double>(decision_loop_.open_requests()));
        r_exchange.send(200, "text/plain; version=0.0.4", metrics_.to_text());
    }

    settings settings_;
    std::atomic<bool> leaving_{false};
    platform_client store_;
    burn_recorder burn_recorder_;
    metrics metrics_;
    claim_committer<platform_client> claim_committer_;
    backend_io backends_;
    decision_loop decision_loop_;
    peer_exchange peer_exchange_;
    config_manager config_manager_;
    platform_reader platform_reader_;
    caller_api caller_api_;
    admin_api admin_api_;
    std::unique_ptr<http_server> http_server_;
};

node::node(settings p_settings)
    : impl_(std::make_unique<impl>(std::move(p_settings)))
{
    auto& node_settings = impl_->settings_;
    impl_->http_server_ = std::make_unique<http_server>(
        http_server_options{node_settings.address_, node_settings.http_port_,
                            node_settings.worker_threads_,
                            node_settings.request_read_timeout_},
        [this](http_exchange& r_exchange) { impl_->serve(r_exchange); });
    // Throws if it can't listen, so no thread that uses it may run yet.
    impl_->peer_exchange_.start();
    impl_->decision_loop_.start();
    impl_->config_manager_.start();
    impl_->platform_reader_.start();
    log_event(log_level::info, "node.started")
        .with("node", node_settings.name_.value())
        .with("address", node_settings.address_)
        .with("http_port", node_settings.http_port_)
        .with("peer_port", node_settings.peer_port_);
}

node::~node() = default;

void node::leave()
{
    impl_->leaving_ = true;
}

void node::run()
{
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    const timespec poll_interval{0, 50'000'000};
    while (!impl_->leaving_)
    {
        if (sigtimedwait(&stop_signals, nullptr, &poll_interval) > 0)
        {
            leave();
        }
    }
    log_event(log_level::info, "node.leaving")
        .with("open", impl_->decision_loop_.open_requests());
    impl_->peer_exchange_.set_leaving();
    // Callers may use this node's address until the entry list that they hold
    // has expired.
    std::this_thread::sleep_for(leave_propagation_time +
                                impl_->settings_.entry_max_age_);
    impl_->caller_api_.close();
    while (impl_->caller_api_.in_progress() > 0)
    {
        std::this_thread::sleep_for(stop_poll_interval);
    }
    const auto deadline = std::chrono::steady_clock::now() + max_record_wait;
    while (impl_->claim_committer_.pending_writes() > 0 &&
           std::chrono::steady_clock::now() < deadline)
    {
        std::this_thread::sleep_for(stop_poll_interval);
    }
    impl_->http_server_->stop();
    impl_->platform_reader_.stop();
    impl_->config_manager_.stop();
    impl_->peer_exchange_.stop();
    impl_->decision_loop_.stop();
    impl_->backends_.stop();
    impl_->claim_committer_.stop();
    log_event(log_level::info, "node.left");
}

} // namespace peridotspar
