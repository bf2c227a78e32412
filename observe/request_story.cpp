#include "observe/request_story.hpp"

#include <cstdlib>
#include <set>

namespace peridotspar
{

namespace
{

constexpr int server_errors = 500;

std::string ms(double p_ms)
{
    return std::to_string(static_cast<long>(p_ms)) + " ms";
}

/// The last line of an event; null if there is none.
const log_line* last(const std::vector<log_line>& p_lines,
                     std::string_view p_event)
{
    const log_line* found = nullptr;
    for (const auto& line : p_lines)
    {
        found = line.is(p_event) ? &line : found;
    }
    return found;
}

std::string where_sent(const log_line& p_sent)
{
    return "sent to " + p_sent.value("server") + " after " +
           ms(p_sent.number("waited_ms")) + " in line, expected there in " +
           ms(p_sent.number("expected_ms"));
}

std::string cause_of_lateness(const log_line& p_end, const log_line* p_sent)
{
    const double first = p_end.number("first_ms");
    const double pause = p_end.number("longest_pause_ms");
    std::string cause;
    if (first > p_end.number("target_ms"))
    {
        cause = "the first part came after " + ms(first) + ", due in " +
                ms(p_end.number("target_ms"));
    }
    const double bound = p_end.number("pause_target_ms");
    if (bound > 0 && pause > bound)
    {
        cause += cause.empty() ? "" : "; ";
        cause += "a pause of " + ms(pause) + " at " + p_end.value("server") +
                 ", bound " + ms(bound);
    }
    if (!cause.empty() && p_sent != nullptr)
    {
        cause += "; " + where_sent(*p_sent);
    }
    return cause;
}

request_verdict judge_answer(const log_line& p_end, const log_line* p_sent)
{
    if (p_end.number("status") >= server_errors)
    {
        return {request_fate::failed, "server " + p_end.value("server") +
                                          " answered " + p_end.value("status")};
    }
    const std::string cause = cause_of_lateness(p_end, p_sent);
    return {cause.empty() ? request_fate::on_time : request_fate::late, cause};
}

std::string cause_of_leaving(const log_line& p_end, const log_line* p_sent)
{
    const std::string after = ms(p_end.number("after_ms"));
    if (p_sent == nullptr)
    {
        return "the caller left after " + after + " in line";
    }
    const std::string silent = p_end.value("first_part") == "1"
                                   ? "in mid-stream, silent for "
                                   : "before the first part, silent for ";
    return "the caller left after " + after + ", " + silent +
           ms(p_end.number("silent_ms")) + "; " + where_sent(*p_sent);
}

} // namespace

std::optional<log_line> log_line::read(std::string_view p_text,
                                       std::string_view p_node)
{
    const auto start = p_text.find("time=");
    if (start == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto end = p_text.substr(0, start).find_last_not_of(' ');
    std::string_view node = p_node;
    if (end != std::string_view::npos)
    {
        const auto before = p_text.substr(0, end + 1);
        node = before.substr(before.rfind(' ') + 1);
    }
    return log_line(std::string(node), std::string(p_text.substr(start)));
}

std::string log_line::value(std::string_view p_key) const
{
    const std::string field = " " + std::string(p_key) + "=";
    const auto at = (" " + text_).find(field);
    if (at == std::string::npos)
    {
        return {};
    }
    const auto first = at + field.size() - 1;
    if (text_[first] == '"')
    {
        return text_.substr(first + 1, text_.find('"', first + 1) - first - 1);
    }
    return text_.substr(first, text_.find(' ', first) - first);
}

double log_line::number(std::string_view p_key) const
{
    return std::atof(value(p_key).c_str());
}

bool log_line::is(std::string_view p_event) const
{
    return value("event") == p_event;
}

request_verdict judge(const std::vector<log_line>& p_lines)
{
    const log_line* sent = last(p_lines, "request.sent");
    const log_line* cut = last(p_lines, "call.failed");
    const std::string broken =
        cut == nullptr ? ""
                       : "; the call to " + cut->value("server") +
                             " broke after " + ms(cut->number("after_ms"));
    if (const auto* end = last(p_lines, "request.answered"))
    {
        return judge_answer(*end, sent);
    }
    if (const auto* end = last(p_lines, "request.refused"))
    {
        return {request_fate::failed,
                "refused: " + end->value("reason") + ", come back in " +
                    ms(end->number("come_back_ms")) + broken};
    }
    if (const auto* end = last(p_lines, "request.given_up"))
    {
        const std::string where =
            sent == nullptr ? "" : "; " + where_sent(*sent);
        return {request_fate::failed,
                "given up: " + end->value("reason") + where + broken};
    }
    if (const auto* end = last(p_lines, "request.abandoned"))
    {
        return {request_fate::failed, cause_of_leaving(*end, sent)};
    }
    if (const auto* again = last(p_lines, "node.started"))
    {
        return {request_fate::failed,
                "its node ended while it was open, and started again at " +
                    again->value("time")};
    }
    return {};
}

std::map<std::string, std::vector<log_line>>
lines_by_request(const std::vector<log_line>& p_lines)
{
    std::map<std::string, std::vector<log_line>> requests;
    std::map<std::string, std::set<std::string>> seen_at; ///< Ids, by node.
    for (const auto& line : p_lines)
    {
        if (const std::string id = line.value("request"); !id.empty())
        {
            requests[id].push_back(line);
            seen_at[line.node()].insert(id);
            continue;
        }
        if (!line.is("node.started"))
        {
            continue;
        }
        for (const auto& id : seen_at[line.node()])
        {
            requests[id].push_back(line);
        }
        seen_at[line.node()].clear();
    }
    return requests;
}

} // namespace peridotspar
