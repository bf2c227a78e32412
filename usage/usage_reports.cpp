#include "usage/usage_reports.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>

#include <nlohmann/json.hpp>

namespace peridotspar
{
namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr duration first_retry_wait = 300ms;
constexpr duration max_retry_wait = 2s;

std::optional<window_id> parse_window(const std::string& p_text)
{
    std::int64_t number = 0;
    const char* const end = p_text.data() + p_text.size();
    const auto result = std::from_chars(p_text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end)
    {
        return std::nullopt;
    }
    return window_id(number);
}

/// Reads a window number, which may be absent. Returns false if it is invalid.
bool parse_member(const json& p_document, const char* p_key,
                  std::optional<window_id>& r_window)
{
    if (!p_document.contains(p_key))
    {
        return true;
    }
    const json& value = p_document[p_key];
    if (!value.is_number_integer())
    {
        return false;
    }
    r_window = window_id(value.get<std::int64_t>());
    return true;
}

std::optional<std::map<std::string, std::uint64_t>>
parse_counts(const json& p_counts)
{
    if (!p_counts.is_object())
    {
        return std::nullopt;
    }
    std::map<std::string, std::uint64_t> counts;
    for (const auto& [account, requests] : p_counts.items())
    {
        if (!requests.is_number_unsigned())
        {
            return std::nullopt;
        }
        counts.emplace(account, requests.get<std::uint64_t>());
    }
    return counts;
}

/// Whether JSON can hold the text, that is, whether it is valid UTF-8.
bool is_json_text(const std::string& p_text)
{
    try
    {
        (void)json(p_text).dump();
        return true;
    }
    catch (const json::exception&)
    {
        return false;
    }
}

} // namespace

usage_reports::usage_reports(duration p_window, duration p_settle)
    : window_(p_window), settle_(p_settle), retry_wait_(first_retry_wait)
{
}

void usage_reports::set_collecting_since(std::int64_t p_unix_ms)
{
    // The window that begins at this time or is the next to begin.
    collecting_from_ = window_after(window_at(p_unix_ms - 1, window_));
}

std::optional<usage_reports::content>
usage_reports::parse(const std::string& p_payload)
{
    content parsed;
    if (p_payload.empty())
    {
        return parsed;
    }
    const json document = json::parse(p_payload, nullptr, false);
    if (!document.is_object() || !document.contains("windows") ||
        !document["windows"].is_object())
    {
        return std::nullopt;
    }
    if (!parse_member(document, "done", parsed.done_) ||
        !parse_member(document, "skipped", parsed.skipped_))
    {
        return std::nullopt;
    }
    for (const auto& [id, value] : document["windows"].items())
    {
        const auto window = parse_window(id);
        auto counts = parse_counts(value);
        if (!window || !counts)
        {
            return std::nullopt;
        }
        parsed.fixed_.emplace(*window, std::move(*counts));
    }
    return parsed;
}

std::string usage_reports::write(const content& p_content)
{
    json document;
    if (p_content.done_)
    {
        document["done"] = p_content.done_->value();
    }
    if (p_content.skipped_)
    {
        document["skipped"] = p_content.skipped_->value();
    }
    document["windows"] = json::object();
    for (const auto& [id, counts] : p_content.fixed_)
    {
        document["windows"][std::to_string(id.value())] = counts;
    }
    return document.dump();
}

bool usage_reports::load(const std::string& p_payload)
{
    auto loaded = parse(p_payload);
    const bool is_valid = loaded.has_value();
    if (!is_valid)
    {
        loaded.emplace();
        skip_settled_ = true;
    }
    const auto done = std::max(content_.done_, loaded->done_);
    const auto skipped = std::max(content_.skipped_, loaded->skipped_);
    content_ = {done, skipped, std::move(loaded->fixed_)};
    std::erase_if(content_.fixed_, [&](const auto& p_entry)
                  { return done && p_entry.first <= *done; });
    decided_ = std::max({done, offered_, skipped});
    if (!content_.fixed_.empty())
    {
        raise_decided(content_.fixed_.rbegin()->first);
    }
    payload_.reset();
    in_flight_.reset();
    retry_at_ = {};
    retry_wait_ = first_retry_wait;
    return is_valid;
}

void usage_reports::raise_decided(window_id p_window)
{
    decided_ = std::max(decided_, std::optional(p_window));
}

void usage_reports::skip(window_id p_window)
{
    skip_settled_ = false;
    content_.skipped_ = std::max(content_.skipped_, std::optional(p_window));
    raise_decided(p_window);
    payload_.reset();
}

void usage_reports::tick(std::int64_t p_unix_ms,
                         const usage_collector& p_collected)
{
    using std::chrono::milliseconds;
    const auto settle = std::chrono::duration_cast<milliseconds>(settle_);
    const window_id settled =
        window_after(window_at(p_unix_ms - settle.count(), window_), -1);
    if (skip_settled_)
    {
        skip(settled);
    }
    raise_decided(window_after(settled, -static_cast<std::int64_t>(max_fixed)));
    while (*decided_ < settled)
    {
        decided_ = window_after(*decided_);
        fix(*decided_, p_collected);
    }
}

void usage_reports::fix(window_id p_window, const usage_collector& p_collected)
{
    account_counts totals = p_collected.totals(p_window);
    const bool was_collecting =
        collecting_from_ && p_window >= *collecting_from_;
    if (totals.empty() && !was_collecting)
    {
        return;
    }
    std::erase_if(totals, [](const auto& p_entry)
                  { return !is_json_text(p_entry.first); });
    content_.fixed_.emplace(p_window, std::move(totals));
    while (content_.fixed_.size() > max_fixed)
    {
        content_.fixed_.erase(content_.fixed_.begin());
    }
    payload_.reset();
}

std::string usage_reports::payload() const
{
    if (!payload_)
    {
        const bool is_empty =
            !content_.done_ && !content_.skipped_ && content_.fixed_.empty();
        payload_ = is_empty ? std::string() : write(content_);
    }
    return *payload_;
}

/// Whether the record in the store has the exact content of the oldest window.
bool usage_reports::is_in_store(const std::string& p_payload_in_store)
{
    if (!stored_ || stored_payload_ != p_payload_in_store)
    {
        stored_payload_ = p_payload_in_store;
        stored_ = parse(p_payload_in_store).value_or(content{});
    }
    const auto& [window, counts] = *content_.fixed_.begin();
    const auto stored = stored_->fixed_.find(window);
    return stored != stored_->fixed_.end() && stored->second == counts;
}

std::optional<usage_report>
usage_reports::next(const std::string& p_payload_in_store, time_point p_now)
{
    if (in_flight_ || p_now < retry_at_ || content_.fixed_.empty() ||
        !is_in_store(p_payload_in_store))
    {
        return std::nullopt;
    }
    const auto& [window, counts] = *content_.fixed_.begin();
    in_flight_ = window;
    offered_ = std::max(offered_, in_flight_);
    return usage_report{window, counts};
}

void usage_reports::on_sent(window_id p_window, report_result p_result,
                            time_point p_now)
{
    const bool was_in_flight = in_flight_ == p_window;
    if (was_in_flight)
    {
        in_flight_.reset();
    }
    if (p_result == report_result::retry)
    {
        if (was_in_flight)
        {
            retry_at_ = p_now + retry_wait_;
            retry_wait_ = std::min(2 * retry_wait_, max_retry_wait);
        }
        return;
    }
    retry_at_ = {};
    retry_wait_ = first_retry_wait;
    content_.done_ = std::max(content_.done_, std::optional(p_window));
    std::erase_if(content_.fixed_, [&](const auto& p_entry)
                  { return p_entry.first <= p_window; });
    raise_decided(p_window);
    payload_.reset();
}

} // namespace peridotspar
