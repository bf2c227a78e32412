// Formats the burn report as a self-contained HTML page.

#include "observe/burn_report.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace peridotspar
{

namespace
{

constexpr double plot_width = 640;
constexpr double plot_height = 140;
constexpr std::size_t plotted_minutes = 60;

std::string escape_html(const std::string& p_text)
{
    std::string escaped;
    for (const char c : p_text)
    {
        switch (c)
        {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string format_decimal(double p_value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", p_value);
    return text.data();
}

/// An SVG bar chart with one bar a minute, whose height is the attainment of
/// that minute, and a line at the target.
std::string attainment_plot(const burn_row& p_row, double p_target)
{
    std::string plot = "<svg viewBox=\"0 0 " + format_decimal(plot_width) +
                       " " + format_decimal(plot_height) +
                       "\" role=\"img\"><title>" + escape_html(p_row.class_) +
                       ": attainment by minute</title>";
    if (!p_row.minutes_.empty())
    {
        const std::int64_t last = p_row.minutes_.rbegin()->first;
        const double bar_width = plot_width / plotted_minutes;
        for (const auto& [minute, counts] : p_row.minutes_)
        {
            const auto age = static_cast<double>(last - minute);
            if (counts.total_ == 0 || age >= plotted_minutes)
            {
                continue;
            }
            const double share = static_cast<double>(counts.good_) /
                                 static_cast<double>(counts.total_);
            const double height = share * plot_height;
            plot += "<rect x=\"" +
                    format_decimal(plot_width - (age + 1) * bar_width) +
                    "\" y=\"" + format_decimal(plot_height - height) +
                    "\" width=\"" + format_decimal(bar_width - 1) +
                    "\" height=\"" + format_decimal(height) + "\" class=\"" +
                    (share >= p_target ? "good" : "bad") + "\"/>";
        }
    }
    const std::string target_y = format_decimal(plot_height * (1 - p_target));
    plot += "<line x1=\"0\" x2=\"" + format_decimal(plot_width) + "\" y1=\"" +
            target_y + "\" y2=\"" + target_y + "\" class=\"target\"/></svg>";
    return plot;
}

std::string window_to_html(const burn_row& p_row, std::size_t p_window)
{
    const window_burn& window = p_row.windows_[p_window];
    return std::string("<tr><td>") + burn_window_names[p_window] + "</td><td>" +
           std::to_string(window.counts_.total_) + "</td><td>" +
           format_decimal(window.attainment_ * 100) + "%</td><td>" +
           format_decimal(window.budget_left_ * 100) + "%</td><td>" +
           format_decimal(window.burn_rate_) + "</td><td>" +
           std::to_string(window.counts_.over_cap_) + "</td></tr>";
}

std::string class_to_html(const burn_row& p_row, double p_target)
{
    std::string text =
        "<h2>" + escape_html(p_row.class_) + "</h2><p>first token target " +
        format_decimal(p_row.first_token_target_ms_) +
        " ms, token gap target " + format_decimal(p_row.token_gap_target_ms_) +
        " ms</p>" + attainment_plot(p_row, p_target) +
        "<table><tr><th>window</th><th>requests</th>"
        "<th>attainment</th><th>budget left</th>"
        "<th>burn rate</th><th>over cap</th></tr>";
    for (std::size_t i = 0; i < burn_window_names.size(); ++i)
    {
        text += window_to_html(p_row, i);
    }
    text += "</table><p>refusals:";
    for (const auto& [reason, count] : p_row.refusals_)
    {
        text += " " + escape_html(reason) + " " + std::to_string(count);
    }
    return text + "</p>";
}

} // namespace

std::string to_html(const burn_report& p_report)
{
    std::string page =
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
        "<title>Service-level burn</title><style>"
        "body{font-family:sans-serif;max-width:52rem;margin:2rem auto}"
        "svg{width:100%;background:#f4f4f4}.good{fill:#2b7a4b}"
        ".bad{fill:#b3372b}.target{stroke:#222;stroke-dasharray:4}"
        "td,th{padding:.2rem .8rem;text-align:right}"
        ".missing{color:#b3372b;font-weight:bold}"
        "</style></head><body><h1>Service-level burn</h1><p>target " +
        format_decimal(p_report.target_ * 100) + "% of requests; " +
        std::to_string(p_report.nodes_.size()) + " nodes</p>";
    for (const auto& node : p_report.missing_nodes_)
    {
        page += "<p class=\"missing\">no answer from node " +
                escape_html(node) + ": its requests are not counted</p>";
    }
    for (const auto& row : p_report.classes_)
    {
        page += class_to_html(row, p_report.target_);
    }
    page += "<h2>Client accounts, worst first</h2><table><tr><th>account</th>"
            "<th>class</th><th>requests</th><th>attainment</th>"
            "<th>burn rate</th><th>over cap</th></tr>";
    for (const auto& row : p_report.accounts_)
    {
        const window_burn& since_start = row.windows_.back();
        page += "<tr><td>" + escape_html(row.account_) + "</td><td>" +
                escape_html(row.class_) + "</td><td>" +
                std::to_string(since_start.counts_.total_) + "</td><td>" +
                format_decimal(since_start.attainment_ * 100) + "%</td><td>" +
                format_decimal(since_start.burn_rate_) + "</td><td>" +
                std::to_string(since_start.counts_.over_cap_) + "</td></tr>";
    }
    page += "</table><h2>Backend servers by late responses</h2><table>";
    for (const auto& backend : p_report.backends_)
    {
        page += "<tr><td>" + escape_html(backend.name_) + "</td><td>" +
                std::to_string(backend.total_) + " responses</td><td>" +
                std::to_string(backend.late_) + " late</td></tr>";
    }
    return page + "</table></body></html>\n";
}

} // namespace peridotspar
