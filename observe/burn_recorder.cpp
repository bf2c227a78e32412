#include "observe/burn_recorder.hpp"

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

constexpr std::int64_t minute_ms = 60'000;
constexpr std::int64_t kept_minutes = 61;

json counts_json(const burn_counts& p_counts)
{
    return json::array({p_counts.total_, p_counts.good_, p_counts.over_cap_});
}

} // namespace

burn_counts& burn_counts::operator+=(const burn_counts& p_other)
{
    total_ += p_other.total_;
    good_ += p_other.good_;
    over_cap_ += p_other.over_cap_;
    return *this;
}

void burn_recorder::add(series& r_series, const burn_counts& p_counts,
                        std::int64_t p_minute)
{
    r_series.since_start_ += p_counts;
    r_series.minutes_[p_minute] += p_counts;
    while (r_series.minutes_.begin()->first <= p_minute - kept_minutes)
    {
        r_series.minutes_.erase(r_series.minutes_.begin());
    }
}

void burn_recorder::record_request(const request_record& p_record,
                                   std::int64_t p_unix_ms)
{
    const std::int64_t minute = p_unix_ms / minute_ms;
    const bool answered = p_record.refusal_.empty();
    const bool good =
        answered &&
        p_record.first_token_ms_ <= p_record.first_token_target_ms_ &&
        p_record.token_gap_ms_ <= p_record.token_gap_target_ms_;
    const bool over_cap = p_record.refusal_ == "over_cap";
    const burn_counts counts{over_cap ? 0U : 1U, good ? 1U : 0U,
                             over_cap ? 1U : 0U};
    std::lock_guard lock(mutex_);
    class_series& kind = classes_[p_record.class_];
    kind.first_token_target_ms_ = p_record.first_token_target_ms_;
    kind.token_gap_target_ms_ = p_record.token_gap_target_ms_;
    add(kind.counts_, counts, minute);
    add(accounts_[{p_record.class_, p_record.account_}], counts, minute);
    if (!answered)
    {
        ++kind.refusals_[p_record.refusal_];
        return;
    }
    ++kind.first_token_[latency_bucket(p_record.first_token_ms_)];
    ++kind.token_gap_[latency_bucket(p_record.token_gap_ms_)];
    backend_counts& backend = backends_[p_record.backend_];
    ++backend.total_;
    backend.late_ += good ? 0 : 1;
}

std::string burn_recorder::to_json(const std::string& p_node) const
{
    std::lock_guard lock(mutex_);
    const auto series_json = [](const series& p_series)
    {
        json minutes = json::object();
        for (const auto& [minute, counts] : p_series.minutes_)
        {
            minutes[std::to_string(minute)] = counts_json(counts);
        }
        return json{{"minutes", minutes},
                    {"since_start", counts_json(p_series.since_start_)}};
    };
    json classes = json::object();
    for (const auto& [name, kind] : classes_)
    {
        json item = series_json(kind.counts_);
        item["first_token_target_ms"] = kind.first_token_target_ms_;
        item["token_gap_target_ms"] = kind.token_gap_target_ms_;
        item["first_token"] = kind.first_token_;
        item["token_gap"] = kind.token_gap_;
        item["refusals"] = kind.refusals_;
        classes[name] = std::move(item);
    }
    json accounts = json::array();
    for (const auto& [key, counts] : accounts_)
    {
        json item = series_json(counts);
        item["class"] = key.first;
        item["account"] = key.second;
        accounts.push_back(std::move(item));
    }
    json backends = json::object();
    for (const auto& [name, counts] : backends_)
    {
        backends[name] = json::array({counts.total_, counts.late_});
    }
    return json{{"node", p_node},
                {"classes", classes},
                {"accounts", accounts},
                {"backend_servers", backends}}
        .dump();
}

} // namespace peridotspar
