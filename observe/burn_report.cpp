#include "observe/burn_report.hpp"

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <utility>

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

constexpr std::int64_t ms_per_minute = 60'000;
/// The window since the start has no length.
constexpr std::array<std::int64_t, 2> window_lengths_min{5, 60};

burn_counts parse_counts(const json& p_list)
{
    return {p_list.at(0).get<std::uint64_t>(),
            p_list.at(1).get<std::uint64_t>(),
            p_list.at(2).get<std::uint64_t>()};
}

/// Sums the counts of one class or client account over several nodes.
struct merged_series
{
    std::map<std::int64_t, burn_counts> minutes_;
    burn_counts since_start_;

    void add(const json& p_entry)
    {
        since_start_ += parse_counts(p_entry.at("since_start"));
        for (const auto& [minute, counts] : p_entry.at("minutes").items())
        {
            minutes_[std::stoll(minute)] += parse_counts(counts);
        }
    }
};

window_burn compute_window_burn(const burn_counts& p_counts, double p_target)
{
    window_burn window;
    window.counts_ = p_counts;
    if (p_counts.total_ == 0)
    {
        return window;
    }
    const double total = static_cast<double>(p_counts.total_);
    window.attainment_ = static_cast<double>(p_counts.good_) / total;
    window.burn_rate_ = (1 - window.attainment_) / (1 - p_target);
    window.budget_left_ = 1 - window.burn_rate_;
    return window;
}

void fill_windows(burn_row& r_row, const merged_series& p_merged,
                  double p_target, std::int64_t p_unix_ms)
{
    const std::int64_t now = p_unix_ms / ms_per_minute;
    for (std::size_t i = 0; i < window_lengths_min.size(); ++i)
    {
        burn_counts sum;
        for (const auto& [minute, counts] : p_merged.minutes_)
        {
            if (minute > now - window_lengths_min[i])
            {
                sum += counts;
            }
        }
        r_row.windows_[i] = compute_window_burn(sum, p_target);
    }
    r_row.windows_.back() =
        compute_window_burn(p_merged.since_start_, p_target);
    r_row.minutes_ = p_merged.minutes_;
}

void add_histogram(latency_histogram& r_sum, const json& p_list)
{
    for (std::size_t i = 0; i < r_sum.size(); ++i)
    {
        r_sum[i] += p_list.at(i).get<std::uint64_t>();
    }
}

bool has_higher_burn_rate(const burn_row& p_left, const burn_row& p_right)
{
    return p_left.windows_.back().burn_rate_ >
           p_right.windows_.back().burn_rate_;
}

/// Sums the records of several nodes.
struct merged_records
{
    std::map<std::string, merged_series> classes_;
    std::map<std::string, burn_row> class_rows_;
    std::map<std::pair<std::string, std::string>, merged_series> accounts_;
    std::map<std::string, backend_summary> backends_;

    void add(const json& p_record)
    {
        for (const auto& [name, entry] : p_record.at("classes").items())
        {
            classes_[name].add(entry);
            burn_row& row = class_rows_[name];
            row.class_ = name;
            add_histogram(row.first_token_histogram_, entry.at("first_token"));
            row.first_token_target_ms_ = entry.at("first_token_target_ms");
            row.token_gap_target_ms_ = entry.at("token_gap_target_ms");
            for (const auto& [reason, count] : entry.at("refusals").items())
            {
                row.refusals_[reason] += count.get<std::uint64_t>();
            }
        }
        for (const auto& entry : p_record.at("accounts"))
        {
            accounts_[{entry.at("class"), entry.at("account")}].add(entry);
        }
        for (const auto& [name, counts] :
             p_record.at("backend_servers").items())
        {
            backend_summary& backend = backends_[name];
            backend.name_ = name;
            backend.total_ += counts.at(0).get<std::uint64_t>();
            backend.late_ += counts.at(1).get<std::uint64_t>();
        }
    }
};

std::string format_percent(double p_share)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%.2f%%", p_share * 100);
    return text.data();
}

std::string format_decimal(double p_value)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%.2f", p_value);
    return text.data();
}

json row_to_json(const burn_row& p_row)
{
    json windows = json::object();
    for (std::size_t i = 0; i < burn_window_names.size(); ++i)
    {
        const window_burn& window = p_row.windows_[i];
        windows[burn_window_names[i]] = {{"requests", window.counts_.total_},
                                         {"good", window.counts_.good_},
                                         {"over_cap", window.counts_.over_cap_},
                                         {"attainment", window.attainment_},
                                         {"budget_left", window.budget_left_},
                                         {"burn_rate", window.burn_rate_}};
    }
    json entry{{"class", p_row.class_}, {"windows", windows}};
    if (!p_row.account_.empty())
    {
        entry["account"] = p_row.account_;
        return entry;
    }
    entry["refusals"] = p_row.refusals_;
    entry["first_token_ms_p95_below"] =
        quantile_upper_bound(p_row.first_token_histogram_, .95);
    entry["first_token_target_ms"] = p_row.first_token_target_ms_;
    return entry;
}

void append_row(std::string& r_text, const burn_row& p_row)
{
    r_text += "  " + p_row.class_;
    if (!p_row.account_.empty())
    {
        r_text += " " + p_row.account_;
    }
    r_text += ":";
    for (std::size_t i = 0; i < burn_window_names.size(); ++i)
    {
        const window_burn& window = p_row.windows_[i];
        r_text += std::string(" [") + burn_window_names[i] +
                  " requests=" + std::to_string(window.counts_.total_) +
                  " attainment=" + format_percent(window.attainment_) +
                  " budget_left=" + format_percent(window.budget_left_) +
                  " burn=" + format_decimal(window.burn_rate_) + "]";
    }
    for (const auto& [reason, count] : p_row.refusals_)
    {
        r_text += " " + reason + "=" + std::to_string(count);
    }
    r_text += "\n";
}

} // namespace

burn_report
merge_burn_records(const std::map<std::string, std::string>& p_node_records,
                   const std::vector<std::string>& p_unreachable_nodes,
                   double p_target, std::int64_t p_unix_ms)
{
    burn_report report;
    report.target_ = p_target;
    report.missing_nodes_ = p_unreachable_nodes;
    merged_records merged;
    for (const auto& [node, record] : p_node_records)
    {
        const json parsed = json::parse(record, nullptr, false);
        if (!parsed.is_object() || !parsed.contains("classes"))
        {
            report.missing_nodes_.push_back(node);
            continue;
        }
        merged.add(parsed);
        report.nodes_.push_back(node);
    }
    for (auto& [name, row] : merged.class_rows_)
    {
        fill_windows(row, merged.classes_[name], p_target, p_unix_ms);
        report.classes_.push_back(row);
    }
    for (const auto& [key, series] : merged.accounts_)
    {
        burn_row row;
        row.class_ = key.first;
        row.account_ = key.second;
        fill_windows(row, series, p_target, p_unix_ms);
        report.accounts_.push_back(std::move(row));
    }
    for (const auto& [name, backend] : merged.backends_)
    {
        report.backends_.push_back(backend);
    }
    std::stable_sort(report.classes_.begin(), report.classes_.end(),
                     has_higher_burn_rate);
    std::stable_sort(report.accounts_.begin(), report.accounts_.end(),
                     has_higher_burn_rate);
    std::stable_sort(
        report.backends_.begin(), report.backends_.end(),
        [](const backend_summary& p_left, const backend_summary& p_right)
        { return p_left.late_ > p_right.late_; });
    return report;
}

double quantile_upper_bound(const latency_histogram& p_histogram,
                            double p_quantile)
{
    const auto total = std::accumulate(p_histogram.begin(), p_histogram.end(),
                                       std::uint64_t{0});
    const double target_count = p_quantile * static_cast<double>(total);
    double sum = 0;
    for (std::size_t i = 0; i < latency_bounds_ms.size(); ++i)
    {
        sum += static_cast<double>(p_histogram[i]);
        if (sum >= target_count)
        {
            return latency_bounds_ms[i];
        }
    }
    return latency_bounds_ms.back();
}

std::string to_text(const burn_report& p_report)
{
    std::string text = "Service-level burn: target " +
                       format_percent(p_report.target_) + " of requests, " +
                       std::to_string(p_report.nodes_.size()) + " nodes\n";
    for (const auto& node : p_report.missing_nodes_)
    {
        text += "  NO ANSWER from node " + node +
                ": its requests are not counted\n";
    }
    text += "Classes, worst first\n";
    for (const auto& row : p_report.classes_)
    {
        append_row(text, row);
    }
    text += "Client accounts, worst first\n";
    for (const auto& row : p_report.accounts_)
    {
        append_row(text, row);
    }
    text += "Backend servers by late responses\n";
    for (const auto& backend : p_report.backends_)
    {
        text += "  " + backend.name_ +
                " answers=" + std::to_string(backend.total_) +
                " late=" + std::to_string(backend.late_) + "\n";
    }
    return text;
}

std::string to_json(const burn_report& p_report)
{
    json classes = json::array();
    for (const auto& row : p_report.classes_)
    {
        classes.push_back(row_to_json(row));
    }
    json accounts = json::array();
    for (const auto& row : p_report.accounts_)
    {
        accounts.push_back(row_to_json(row));
    }
    json backends = json::array();
    for (const auto& backend : p_report.backends_)
    {
        backends.push_back({{"name", backend.name_},
                            {"answers", backend.total_},
                            {"late", backend.late_}});
    }
    return json{{"target", p_report.target_},
                {"nodes", p_report.nodes_},
                {"missing_nodes", p_report.missing_nodes_},
                {"classes", classes},
                {"accounts", accounts},
                {"backend_servers", backends}}
        .dump(2);
}

} // namespace peridotspar
