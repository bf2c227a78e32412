#include "daemon/node.hpp"

#include "core/log.hpp"
#include "daemon/admin_api.hpp"
#include "daemon/caller_api.hpp"
#include "daemon/config_keeper.hpp"
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

constexpr std::size_t claim_threads = 4;
constexpr milliseconds stop_check{50};
/// Time for the news of leaving to reach every node's entry list.
constexpr milliseconds spread_time{1500};
/// How long a leaving node keeps trying to record answers.
constexpr milliseconds longest_record_wait{30000};

} // namespace

struct node::parts
{
    explicit parts(settings p_settings)
        : settings_(std::move(p_settings)),
          store_({settings_.platform_address_, settings_.platform_port_},
                 settings_.name_, settings_.platform_timeout_),
          claims_(store_, claim_threads),
          decisions_(settings_.name_, settings_.failure_domain_, backends_,
                     [this](policy::action p_action)
                     { peers_.send(std::move(p_action)); }),
          peers_(settings_, {[this](policy::event p_event)
                             { decisions_.post(std::move(p_event)); },
                             [this] { return config_.current(); },
                             [this] { return load_percent(); }}),
          config_(store_, {[this](std::shared_ptr<const snapshot> p_snapshot)
                           { put_in_force(std::move(p_snapshot)); },
                           [this] { return peers_.is_platform_reader(); },
                           [this](config_revision p_known)
                           { return peers_.fetch_config(p_known); }}),
          reader_(store_, peers_, settings_.name_,
                  [this] { return config_.current(); }),
          callers_(
              {settings_, decisions_, backends_, claims_, burn_, metrics_}),
          operators_({settings_, config_, peers_, burn_,
                      [this] { leaving_ = true; },
                      [this] { return decisions_.open_requests(); }})
    {
    }

    void put_in_force(std::shared_ptr<const snapshot> p_snapshot)
    {
        decisions_.set_snapshot(p_snapshot);
        callers_.set_snapshot(std::move(p_snapshot));
        peers_.schedule_admission_update();
    }

    [[nodiscard]] std::uint16_t load_percent() const
    {
        return static_cast<std::uint16_t>(callers_.in_progress() * 100 /
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
            callers_.serve(r_exchange);
        }
        else if (path.starts_with("/admin/v1/"))
        {
            operators_.serve(r_exchange);
        }
        else if (path == "/healthz")
        {
            r_exchange.send(200, "text/plain", "ok\n");
        }
        else if (path == "/readyz")
        {
            const bool ready = config_.current() != nullptr && !leaving_;
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
        for (const auto& state : peers_.entry_list())
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
        const auto& calls = store_.calls();
        const auto set = [this](const char* p_kind, double p_value)
        { metrics_.set_gauge("store_calls", p_kind, p_value); };
        set("get", static_cast<double>(calls.gets_));
        set("put", static_cast<double>(calls.puts_));
        set("watch", static_cast<double>(calls.watches_));
        set("vms", static_cast<double>(calls.vm_lists_));
        set("failed", static_cast<double>(calls.failures_));
        const auto sent = peers_.traffic_sent();
        metrics_.set_gauge("peers", "bytes", static_cast<double>(sent.bytes_));
        metrics_.set_gauge("peers", "messages",
                           static_cast<double>(sent.messages_));
        metrics_.set_gauge("requests", "open",
                           static_cast<double>(decisions_.open_requests()));
        r_exchange.send(200, "text/plain; version=0.0.4", metrics_.to_text());
    }

    settings settings_;
    std::atomic<bool> leaving_{false};
    platform_client store_;
    burn_recorder burn_;
    metrics metrics_;
    claim_committer<platform_client> claims_;
    backend_io backends_;
    decision_loop decisions_;
    peer_exchange peers_;
    config_keeper config_;
    platform_reader reader_;
    caller_api callers_;
    admin_api operators_;
    std::unique_ptr<http_server> server_;
};

node::node(settings p_settings)
    : parts_(std::make_unique<parts>(std::move(p_settings)))
{
    auto& own = parts_->settings_;
    parts_->server_ = std::make_unique<http_server>(
        http_server_options{own.address_, own.http_port_, own.worker_threads_,
                            own.request_read_timeout_},
        [this](http_exchange& r_exchange) { parts_->serve(r_exchange); });
    parts_->decisions_.start();
    parts_->peers_.start();
    parts_->config_.start();
    parts_->reader_.start();
    log_event(log_level::info, "node.started")
        .with("node", own.name_.value())
        .with("address", own.address_)
        .with("http_port", own.http_port_)
        .with("peer_port", own.peer_port_);
}

node::~node() = default;

void node::leave()
{
    parts_->leaving_ = true;
}

void node::run()
{
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    const timespec wait{0, 50'000'000};
    while (!parts_->leaving_)
    {
        if (sigtimedwait(&stops, nullptr, &wait) > 0)
        {
            leave();
        }
    }
    log_event(log_level::info, "node.leaving")
        .with("open", parts_->decisions_.open_requests());
    parts_->peers_.set_leaving();
    std::this_thread::sleep_for(spread_time + parts_->settings_.entry_max_age_);
    parts_->callers_.close();
    while (parts_->callers_.in_progress() > 0)
    {
        std::this_thread::sleep_for(stop_check);
    }
    const auto last = std::chrono::steady_clock::now() + longest_record_wait;
    while (parts_->claims_.unwritten() > 0 &&
           std::chrono::steady_clock::now() < last)
    {
        std::this_thread::sleep_for(stop_check);
    }
    parts_->server_->stop();
    parts_->reader_.stop();
    parts_->config_.stop();
    parts_->peers_.stop();
    parts_->decisions_.stop();
    parts_->backends_.stop();
    parts_->claims_.stop();
    log_event(log_level::info, "node.left");
}

} // namespace peridotspar
