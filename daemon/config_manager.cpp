#include "daemon/config_manager.hpp"

#include "core/log.hpp"
#include "core/text.hpp"

#include <chrono>
#include <random>

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

const std::string config_object = "config";
/// Time after which a watch of the store returns without a change. A silent one
/// is noticed that much later, within the 8 s in which a change must be in
/// force everywhere.
constexpr milliseconds watch_timeout{2000};
/// Interval at which a node that doesn't watch the store checks whether a peer
/// has a newer revision.
constexpr milliseconds idle_poll_interval{100};
/// Interval between reads of the store before the first configuration, and
/// between attempts to resolve a write.
constexpr milliseconds retry_interval{300};
/// Interval at which a node reads the store even if it doesn't watch it, in
/// case its peers also miss a revision. Up to 10 s of jitter are added.
constexpr milliseconds fallback_read_interval{30000};
constexpr milliseconds watch_retry_delay{300};

} // namespace

config_manager::config_manager(platform_client& r_store, callbacks p_callbacks)
    : store_(r_store), callbacks_(std::move(p_callbacks))
{
}

config_manager::~config_manager()
{
    stop();
}

void config_manager::start()
{
    thread_ = std::thread([this] { run(); });
}

void config_manager::stop()
{
    stopping_ = true;
    if (thread_.joinable())
    {
        thread_.join();
    }
}

std::shared_ptr<const snapshot> config_manager::current() const
{
    std::lock_guard lock(mutex_);
    return current_;
}

bool config_manager::apply_if_newer(const stored_object& p_stored)
{
    const json envelope = json::parse(p_stored.value_, nullptr, false);
    if (!envelope.is_object() || !envelope.contains("document"))
    {
        return false;
    }
    auto parsed = parse_document(envelope["document"].dump());
    if (!parsed)
    {
        log_event(log_level::error, "config.invalid")
            .with("revision", p_stored.version_);
        return false;
    }
    std::shared_ptr<const snapshot> applied;
    {
        std::lock_guard lock(mutex_);
        const config_revision revision(p_stored.version_);
        if (current_ && revision <= current_->revision_)
        {
            return false;
        }
        current_ =
            builder_.build(revision, p_stored.value_, std::move(*parsed));
        applied = current_;
        // Called under the lock, so that revisions are applied in order.
        callbacks_.on_change_(applied);
    }
    log_event(log_level::info, "config.in_force")
        .with("revision", p_stored.version_);
    return true;
}

tl::expected<config_revision, config_manager::write_error>
config_manager::write(const std::string& p_document,
                      std::uint64_t p_expected_version,
                      const std::string& p_author)
{
    using kind = write_error::kind;
    const auto parsed = parse_document(p_document);
    if (!parsed)
    {
        return tl::unexpected(write_error{kind::invalid, parsed.error(), 0});
    }
    const std::string text = json{{"author", p_author},
                                  {"nonce", random_hex(8)},
                                  {"document", json::parse(p_document)}}
                                 .dump();
    const auto written = store_.put(config_object, p_expected_version, text);
    if (written)
    {
        apply_if_newer({*written, text});
        return config_revision(*written);
    }
    switch (written.error().kind_)
    {
    case store_error_kind::conflict:
        return tl::unexpected(
            write_error{kind::conflict, {}, written.error().version_});
    case store_error_kind::unknown_effect:
        return resolve_write(text, p_expected_version);
    default:
        return tl::unexpected(write_error{kind::unavailable, {}, 0});
    }
}

tl::expected<config_revision, config_manager::write_error>
config_manager::resolve_write(const std::string& p_text,
                              std::uint64_t p_expected_version)
{
    using kind = write_error::kind;
    constexpr int max_reads = 5;
    for (int i = 0; i < max_reads; ++i)
    {
        const auto stored = store_.get(config_object);
        if (!stored)
        {
            std::this_thread::sleep_for(retry_interval);
            continue;
        }
        if (stored->value_ == p_text)
        {
            apply_if_newer(*stored);
            return config_revision(stored->version_);
        }
        if (stored->version_ == p_expected_version)
        {
            return tl::unexpected(write_error{kind::unavailable, {}, 0});
        }
        // Another write followed. Whether this one took effect before it can't
        // be determined, but the operator must start over in either case.
        return tl::unexpected(
            write_error{kind::conflict, {}, stored->version_});
    }
    return tl::unexpected(write_error{kind::unknown, {}, 0});
}

void config_manager::read_store()
{
    if (const auto stored = store_.get(config_object);
        stored && stored->version_ > 0)
    {
        apply_if_newer(*stored);
    }
}

void config_manager::watch_store()
{
    const auto current_config = current();
    const auto update = store_.watch(
        config_object, current_config ? current_config->revision_.value() : 0,
        watch_timeout);
    if (!update)
    {
        std::this_thread::sleep_for(watch_retry_delay);
        return;
    }
    if (*update)
    {
        apply_if_newer(**update);
    }
}

void config_manager::run()
{
    std::mt19937 generator(std::random_device{}());
    std::uniform_int_distribution<int> jitter(0, 10000);
    const auto next_read_time = [&]
    {
        return steady_clock::now() + fallback_read_interval +
               milliseconds(jitter(generator));
    };
    auto next_read = steady_clock::now();
    while (!stopping_)
    {
        const auto current_config = current();
        const config_revision known_revision =
            current_config ? current_config->revision_ : config_revision(0);
        if (auto newer = callbacks_.fetch_from_peer_(known_revision))
        {
            apply_if_newer(*newer);
            continue;
        }
        if (!current_config || steady_clock::now() >= next_read)
        {
            read_store();
            next_read = next_read_time();
            std::this_thread::sleep_for(current_config ? milliseconds(0)
                                                       : retry_interval);
            continue;
        }
        if (callbacks_.is_reader_())
        {
            watch_store();
            continue;
        }
        std::this_thread::sleep_for(idle_poll_interval);
    }
}

} // namespace peridotspar
