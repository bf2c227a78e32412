#include "observe/burn_recorder.hpp"

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

constexpr std::int64_t ms_per_minute = 60'000;
/// The current minute and the 60 minutes before it.
constexpr std::int64_t retained_minutes = 61;

json counts_to_json(const burn_counts& p_counts)
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

void burn_recorder::add_counts(count_series& r_series,
                               const burn_counts& p_counts,
                               std::int64_t p_minute)
{
    r_series.since_start_ += p_counts;
    r_series.minutes_[p_minute] += p_counts;
    while (r_series.minutes_.begin()->first <= p_minute - retained_minutes)
    {
        r_series.minutes_.erase(r_series.minutes_.begin());
    }
}

void burn_recorder::record(const request_record& p_record,
                           std::int64_t p_unix_ms)
{
    const std::int64_t minute = p_unix_ms / ms_per_minute;
    const bool answered = p_record.refusal_reason_.empty();
    const bool good =
        answered &&
        p_record.first_token_ms_ <= p_record.first_token_target_ms_ &&
        p_record.token_gap_ms_ <= p_record.token_gap_target_ms_;
    const bool over_cap = p_record.refusal_reason_ == "over_cap";
    const burn_counts counts{over_cap ? 0U : 1U, good ? 1U : 0U,
                             over_cap ? 1U : 0U};
    std::lock_guard lock(mutex_);
    class_stats& stats = classes_[p_record.class_];
    stats.first_token_target_ms_ = p_record.first_token_target_ms_;
    stats.token_gap_target_ms_ = p_record.token_gap_target_ms_;
    add_counts(stats.counts_, counts, minute);
    add_counts(accounts_[{p_record.class_, p_record.account_}], counts, minute);
    if (!answered)
    {
        ++stats.refusals_[p_record.refusal_reason_];
        return;
    }
    ++stats.first_token_histogram_[latency_bucket_index(
        p_record.first_token_ms_)];
    ++stats.token_gap_histogram_[latency_bucket_index(p_record.token_gap_ms_)];
    backend_counts& backend = backends_[p_record.backend_];
    ++backend.total_;
    backend.late_ += good ? 0 : 1;
}

std::string burn_recorder::to_json(const std::string& p_node) const
{
    std::lock_guard lock(mutex_);
    const auto series_to_json = [](const count_series& p_series)
    {
        json minutes = json::object();
        for (const auto& [minute, counts] : p_series.minutes_)
        {
            minutes[std::to_string(minute)] = counts_to_json(counts);
        }
        return json{{"minutes", minutes},
                    {"since_start", counts_to_json(p_series.since_start_)}};
    };
    json classes = json::object();
    for (const auto& [name, stats] : classes_)
    {
        json entry = series_to_json(stats.counts_);
        entry["first_token_target_ms"] = stats.first_token_target_ms_;
        entry["token_gap_target_ms"] = stats.token_gap_target_ms_;
        entry["first_token"] = stats.first_token_histogram_;
        entry["token_gap"] = stats.token_gap_histogram_;
        entry["refusals"] = stats.refusals_;
        classes[name] = std::move(entry);
    }
    json accounts = json::array();
    for (const auto& [key, counts] : accounts_)
    {
        json entry = series_to_json(counts);
        entry["class"] = key.first;
        entry["account"] = key.second;
        accounts.push_back(std::move(entry));
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
