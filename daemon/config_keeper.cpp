#include "daemon/config_keeper.hpp"

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
constexpr milliseconds watch_wait{5000};
constexpr milliseconds idle_step{100};
constexpr milliseconds start_step{300};
/// A node that doesn't watch reads the store this seldom, in case its peers
/// are behind as well.
constexpr milliseconds fallback_interval{30000};
constexpr milliseconds pause_after_failure{1000};

} // namespace

config_keeper::config_keeper(platform_client& r_store, hooks p_hooks)
    : store_(r_store), hooks_(std::move(p_hooks))
{
}

config_keeper::~config_keeper()
{
    stop();
}

void config_keeper::start()
{
    thread_ = std::thread([this] { run(); });
}

void config_keeper::stop()
{
    stopping_ = true;
    if (thread_.joinable())
    {
        thread_.join();
    }
}

std::shared_ptr<const snapshot> config_keeper::current() const
{
    std::lock_guard lock(mutex_);
    return current_;
}

bool config_keeper::offer(const stored_object& p_stored)
{
    const json wrapped = json::parse(p_stored.value_, nullptr, false);
    if (!wrapped.is_object() || !wrapped.contains("document"))
    {
        return false;
    }
    auto parsed = parse_document(wrapped["document"].dump());
    if (!parsed)
    {
        log_event(log_level::error, "config.invalid")
            .with("revision", p_stored.version_);
        return false;
    }
    std::shared_ptr<const snapshot> next;
    {
        std::lock_guard lock(mutex_);
        const config_revision revision(p_stored.version_);
        if (current_ && revision <= current_->revision_)
        {
            return false;
        }
        current_ =
            builder_.build(revision, p_stored.value_, std::move(*parsed));
        next = current_;
        // Under the lock, so that revisions take force in their order.
        hooks_.on_change_(next);
    }
    log_event(log_level::info, "config.in_force")
        .with("revision", p_stored.version_);
    return true;
}

tl::expected<config_revision, config_keeper::write_error>
config_keeper::write(const std::string& p_document, std::uint64_t p_expected,
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
    const auto written = store_.put(config_object, p_expected, text);
    if (written)
    {
        offer({*written, text});
        return config_revision(*written);
    }
    switch (written.error().kind_)
    {
    case store_error_kind::conflict:
        return tl::unexpected(
            write_error{kind::conflict, {}, written.error().version_});
    case store_error_kind::unknown_effect:
        return resolve(text, p_expected);
    default:
        return tl::unexpected(write_error{kind::unavailable, {}, 0});
    }
}

tl::expected<config_revision, config_keeper::write_error>
config_keeper::resolve(const std::string& p_text, std::uint64_t p_expected)
{
    using kind = write_error::kind;
    constexpr int most_reads = 5;
    for (int i = 0; i < most_reads; ++i)
    {
        const auto stored = store_.get(config_object);
        if (!stored)
        {
            std::this_thread::sleep_for(start_step);
            continue;
        }
        if (stored->value_ == p_text)
        {
            offer(*stored);
            return config_revision(stored->version_);
        }
        if (stored->version_ == p_expected)
        {
            return tl::unexpected(write_error{kind::unavailable, {}, 0});
        }
        // Another write came after; whether this one came before it can't
        // be read any more, but the operator must start again either way.
        return tl::unexpected(
            write_error{kind::conflict, {}, stored->version_});
    }
    return tl::unexpected(write_error{kind::unknown, {}, 0});
}

void config_keeper::read_store()
{
    if (const auto stored = store_.get(config_object);
        stored && stored->version_ > 0)
    {
        offer(*stored);
    }
}

void config_keeper::watch_store()
{
    const auto now = current();
    const auto changed = store_.watch(
        config_object, now ? now->revision_.value() : 0, watch_wait);
    if (!changed)
    {
        std::this_thread::sleep_for(pause_after_failure);
        return;
    }
    if (*changed)
    {
        offer(**changed);
    }
}

void config_keeper::run()
{
    std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> spread(0, 10000);
    const auto next_time = [&]
    {
        return steady_clock::now() + fallback_interval +
               milliseconds(spread(random));
    };
    auto next_read = steady_clock::now();
    while (!stopping_)
    {
        const auto now = current();
        const config_revision known = now ? now->revision_ : config_revision(0);
        if (auto newer = hooks_.fetch_from_peer_(known))
        {
            offer(*newer);
            continue;
        }
        if (!now || steady_clock::now() >= next_read)
        {
            read_store();
            next_read = next_time();
            std::this_thread::sleep_for(now ? milliseconds(0) : start_step);
            continue;
        }
        if (hooks_.is_reader_())
        {
            watch_store();
            continue;
        }
        std::this_thread::sleep_for(idle_step);
    }
}

} // namespace peridotspar
