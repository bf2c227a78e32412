#include "store/claim_segment.hpp"

#include "core/log.hpp"
#include "core/text.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

/// Number of segments per time span. More segments cause fewer write conflicts
/// but more writes.
constexpr std::uint64_t shard_count = 64;
/// Keys created within one time span share its segments, which keeps each
/// segment small.
constexpr std::int64_t time_span_ms = 10'000;

std::string object_name(std::int64_t p_span, std::uint64_t p_shard)
{
    return "claims-" + std::to_string(p_span) + "-" + std::to_string(p_shard);
}

/// Throws json::exception if it isn't a claim.
claim_record parse_record(const json& p_item)
{
    claim_record record{p_item.value("nonce", ""), p_item.value("body", ""),
                        std::nullopt};
    if (p_item.contains("answer"))
    {
        const auto& response = p_item["answer"];
        record.response_ = recorded_response{response.value("status", 0),
                                             response.value("type", ""),
                                             response.value("body", "")};
    }
    return record;
}

} // namespace

std::optional<claim_location> locate_claim(std::string_view p_account,
                                           std::string_view p_key)
{
    const std::int64_t created_ms = uuid7_unix_ms(p_key);
    if (created_ms < 0)
    {
        return std::nullopt;
    }
    std::string entry(p_account);
    entry += '/';
    entry += p_key;
    const std::uint64_t shard =
        XXH64(entry.data(), entry.size(), 0) % shard_count;
    return claim_location{object_name(created_ms / time_span_ms, shard), entry};
}

std::int64_t newest_expired_claim_span(std::int64_t p_unix_ms)
{
    // Two additional spans allow for clock differences between machines.
    return (p_unix_ms - claim_retention_ms) / time_span_ms - 2;
}

std::vector<std::string> claim_objects_in_span(std::int64_t p_span)
{
    std::vector<std::string> names;
    for (std::uint64_t i = 0; i < shard_count; ++i)
    {
        names.push_back(object_name(p_span, i));
    }
    return names;
}

std::optional<claim_segment> claim_segment::parse(std::string_view p_text)
{
    claim_segment segment;
    if (p_text.empty())
    {
        return segment;
    }
    const json stored = json::parse(p_text, nullptr, false);
    if (!stored.is_object())
    {
        return std::nullopt;
    }
    try
    {
        for (const auto& [entry, item] : stored.items())
        {
            segment.records_.emplace(entry, parse_record(item));
        }
        return segment;
    }
    catch (const json::exception& error)
    {
        // Without one record its request might run again.
        log_event(log_level::warning, "claims.unreadable")
            .with("error", error.what());
        return std::nullopt;
    }
}

std::string claim_segment::serialize() const
{
    json stored = json::object();
    for (const auto& [entry, record] : records_)
    {
        json item{{"nonce", record.nonce_}, {"body", record.body_hash_}};
        if (record.response_)
        {
            item["answer"] = {{"status", record.response_->status_},
                              {"type", record.response_->content_type_},
                              {"body", record.response_->body_}};
        }
        stored[entry] = std::move(item);
    }
    return stored.dump(-1, ' ', false, json::error_handler_t::replace);
}

const claim_record* claim_segment::find(const std::string& p_entry) const
{
    const auto found = records_.find(p_entry);
    return found == records_.end() ? nullptr : &found->second;
}

bool claim_segment::add(const std::string& p_entry, claim_record p_record)
{
    return records_.emplace(p_entry, std::move(p_record)).second;
}

bool claim_segment::finish(const std::string& p_entry,
                           const std::string& p_nonce,
                           recorded_response p_response)
{
    const auto found = records_.find(p_entry);
    if (found == records_.end() || found->second.nonce_ != p_nonce)
    {
        return false;
    }
    found->second.response_ = std::move(p_response);
    return true;
}

bool claim_segment::release(const std::string& p_entry,
                            const std::string& p_nonce)
{
    const auto found = records_.find(p_entry);
    if (found == records_.end() || found->second.nonce_ != p_nonce)
    {
        return false;
    }
    records_.erase(found);
    return true;
}

} // namespace peridotspar
