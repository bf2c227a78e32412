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

constexpr std::int64_t minute_ms = 60'000;
constexpr std::array<std::int64_t, 2> window_minutes{5, 60};

burn_counts counts_of(const json& p_list)
{
    return {p_list.at(0).get<std::uint64_t>(),
            p_list.at(1).get<std::uint64_t>(),
            p_list.at(2).get<std::uint64_t>()};
}

/// A class or account while nodes are being added to it.
struct merging
{
    std::map<std::int64_t, burn_counts> minutes_;
    burn_counts since_start_;

    void add(const json& p_item)
    {
        since_start_ += counts_of(p_item.at("since_start"));
        for (const auto& [minute, counts] : p_item.at("minutes").items())
        {
            minutes_[std::stoll(minute)] += counts_of(counts);
        }
    }
};

window_burn rate_window(const burn_counts& p_counts, double p_target)
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

void fill_windows(burn_line& r_line, const merging& p_merged, double p_target,
                  std::int64_t p_unix_ms)
{
    const std::int64_t now = p_unix_ms / minute_ms;
    for (std::size_t i = 0; i < window_minutes.size(); ++i)
    {
        burn_counts sum;
        for (const auto& [minute, counts] : p_merged.minutes_)
        {
            if (minute > now - window_minutes[i])
            {
                sum += counts;
            }
        }
        r_line.windows_[i] = rate_window(sum, p_target);
    }
    r_line.windows_.back() = rate_window(p_merged.since_start_, p_target);
    r_line.minutes_ = p_merged.minutes_;
}

void add_histogram(latency_histogram& r_sum, const json& p_list)
{
    for (std::size_t i = 0; i < r_sum.size(); ++i)
    {
        r_sum[i] += p_list.at(i).get<std::uint64_t>();
    }
}

bool burns_faster(const burn_line& p_left, const burn_line& p_right)
{
    return p_left.windows_.back().burn_rate_ >
           p_right.windows_.back().burn_rate_;
}

/// Everything that nodes have reported so far.
struct totals
{
    std::map<std::string, merging> classes_;
    std::map<std::string, burn_line> class_lines_;
    std::map<std::pair<std::string, std::string>, merging> accounts_;
    std::map<std::string, backend_burn> backends_;

    void add(const json& p_node)
    {
        for (const auto& [name, item] : p_node.at("classes").items())
        {
            classes_[name].add(item);
            burn_line& line = class_lines_[name];
            line.class_ = name;
            add_histogram(line.first_token_, item.at("first_token"));
            line.first_token_target_ms_ = item.at("first_token_target_ms");
            line.token_gap_target_ms_ = item.at("token_gap_target_ms");
            for (const auto& [reason, count] : item.at("refusals").items())
            {
                line.refusals_[reason] += count.get<std::uint64_t>();
            }
        }
        for (const auto& item : p_node.at("accounts"))
        {
            accounts_[{item.at("class"), item.at("account")}].add(item);
        }
        for (const auto& [name, counts] : p_node.at("backend_servers").items())
        {
            backend_burn& backend = backends_[name];
            backend.name_ = name;
            backend.total_ += counts.at(0).get<std::uint64_t>();
            backend.late_ += counts.at(1).get<std::uint64_t>();
        }
    }
};

std::string percent(double p_share)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%.2f%%", p_share * 100);
    return text.data();
}

std::string fixed(double p_value)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%.2f", p_value);
    return text.data();
}

json line_json(const burn_line& p_line)
{
    json windows = json::object();
    for (std::size_t i = 0; i < burn_window_names.size(); ++i)
    {
        const window_burn& window = p_line.windows_[i];
        windows[burn_window_names[i]] = {{"requests", window.counts_.total_},
                                         {"good", window.counts_.good_},
                                         {"over_cap", window.counts_.over_cap_},
                                         {"attainment", window.attainment_},
                                         {"budget_left", window.budget_left_},
                                         {"burn_rate", window.burn_rate_}};
    }
    json item{{"class", p_line.class_}, {"windows", windows}};
    if (!p_line.account_.empty())
    {
        item["account"] = p_line.account_;
        return item;
    }
    item["refusals"] = p_line.refusals_;
    item["first_token_ms_p95_below"] = quantile_bound(p_line.first_token_, .95);
    item["first_token_target_ms"] = p_line.first_token_target_ms_;
    return item;
}

void append_line(std::string& r_text, const burn_line& p_line)
{
    r_text += "  " + p_line.class_;
    if (!p_line.account_.empty())
    {
        r_text += " " + p_line.account_;
    }
    r_text += ":";
    for (std::size_t i = 0; i < burn_window_names.size(); ++i)
    {
        const window_burn& window = p_line.windows_[i];
        r_text += std::string(" [") + burn_window_names[i] +
                  " requests=" + std::to_string(window.counts_.total_) +
                  " attainment=" + percent(window.attainment_) +
                  " budget_left=" + percent(window.budget_left_) +
                  " burn=" + fixed(window.burn_rate_) + "]";
    }
    for (const auto& [reason, count] : p_line.refusals_)
    {
        r_text += " " + reason + "=" + std::to_string(count);
    }
    r_text += "\n";
}

} // namespace

burn_report merge_burn(const std::map<std::string, std::string>& p_answers,
                       const std::vector<std::string>& p_silent,
                       double p_target, std::int64_t p_unix_ms)
{
    burn_report report;
    report.target_ = p_target;
    report.missing_nodes_ = p_silent;
    totals sums;
    for (const auto& [node, answer] : p_answers)
    {
        const json parsed = json::parse(answer, nullptr, false);
        if (!parsed.is_object() || !parsed.contains("classes"))
        {
            report.missing_nodes_.push_back(node);
            continue;
        }
        sums.add(parsed);
        report.nodes_.push_back(node);
    }
    for (auto& [name, line] : sums.class_lines_)
    {
        fill_windows(line, sums.classes_[name], p_target, p_unix_ms);
        report.classes_.push_back(line);
    }
    for (const auto& [key, merged] : sums.accounts_)
    {
        burn_line line;
        line.class_ = key.first;
        line.account_ = key.second;
        fill_windows(line, merged, p_target, p_unix_ms);
        report.accounts_.push_back(std::move(line));
    }
    for (const auto& [name, backend] : sums.backends_)
    {
        report.backends_.push_back(backend);
    }
    std::stable_sort(report.classes_.begin(), report.classes_.end(),
                     burns_faster);
    std::stable_sort(report.accounts_.begin(), report.accounts_.end(),
                     burns_faster);
    std::stable_sort(report.backends_.begin(), report.backends_.end(),
                     [](const backend_burn& p_left, const backend_burn& p_right)
                     { return p_left.late_ > p_right.late_; });
    return report;
}

double quantile_bound(const latency_histogram& p_histogram, double p_share)
{
    const auto total = std::accumulate(p_histogram.begin(), p_histogram.end(),
                                       std::uint64_t{0});
    const double wanted = p_share * static_cast<double>(total);
    double sum = 0;
    for (std::size_t i = 0; i < latency_bounds_ms.size(); ++i)
    {
        sum += static_cast<double>(p_histogram[i]);
        if (sum >= wanted)
        {
            return latency_bounds_ms[i];
        }
    }
    return latency_bounds_ms.back();
}

std::string to_text(const burn_report& p_report)
{
    std::string text = "Service-level burn, target " +
                       percent(p_report.target_) + " of " +
                       std::to_string(p_report.nodes_.size()) + " nodes\n";
    for (const auto& node : p_report.missing_nodes_)
    {
        text +=
            "  NO ANSWER from node " + node + ": its requests are missing\n";
    }
    text += "Classes, worst first\n";
    for (const auto& line : p_report.classes_)
    {
        append_line(text, line);
    }
    text += "Client accounts, worst first\n";
    for (const auto& line : p_report.accounts_)
    {
        append_line(text, line);
    }
    text += "Backend servers by late answers\n";
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
    for (const auto& line : p_report.classes_)
    {
        classes.push_back(line_json(line));
    }
    json accounts = json::array();
    for (const auto& line : p_report.accounts_)
    {
        accounts.push_back(line_json(line));
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
