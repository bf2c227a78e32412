#include "observe/request_diagnosis.hpp"

#include <cstdlib>
#include <set>

namespace peridotspar
{

namespace
{

constexpr int first_server_error = 500;

std::string format_ms(double p_ms)
{
    return std::to_string(static_cast<long>(p_ms)) + " ms";
}

/// The last line that logs an event; null if there is none.
const log_line* find_last(const std::vector<log_line>& p_lines,
                          std::string_view p_event)
{
    const log_line* found = nullptr;
    for (const auto& line : p_lines)
    {
        found = line.has_event(p_event) ? &line : found;
    }
    return found;
}

std::string describe_send(const log_line& p_sent)
{
    return "sent to " + p_sent.value("server") + " after " +
           format_ms(p_sent.number("waited_ms")) +
           " in the queue, response expected in " +
           format_ms(p_sent.number("expected_ms"));
}

std::string describe_lateness(const log_line& p_end, const log_line* p_sent)
{
    const double time_to_first_part_ms = p_end.number("first_ms");
    const double longest_pause_ms = p_end.number("longest_pause_ms");
    std::string cause;
    if (time_to_first_part_ms > p_end.number("target_ms"))
    {
        cause = "the first part arrived after " +
                format_ms(time_to_first_part_ms) + ", target " +
                format_ms(p_end.number("target_ms"));
    }
    const double pause_target_ms = p_end.number("pause_target_ms");
    if (pause_target_ms > 0 && longest_pause_ms > pause_target_ms)
    {
        cause += cause.empty() ? "" : "; ";
        cause += "a pause of " + format_ms(longest_pause_ms) + " at " +
                 p_end.value("server") + ", bound " +
                 format_ms(pause_target_ms);
    }
    if (!cause.empty() && p_sent != nullptr)
    {
        cause += "; " + describe_send(*p_sent);
    }
    return cause;
}

request_diagnosis diagnose_response(const log_line& p_end,
                                    const log_line* p_sent)
{
    if (p_end.number("status") >= first_server_error)
    {
        return {request_status::failed, "server " + p_end.value("server") +
                                            " answered " +
                                            p_end.value("status")};
    }
    const std::string cause = describe_lateness(p_end, p_sent);
    return {cause.empty() ? request_status::on_time : request_status::late,
            cause};
}

std::string describe_disconnect(const log_line& p_end, const log_line* p_sent)
{
    const std::string elapsed = format_ms(p_end.number("after_ms"));
    if (p_sent == nullptr)
    {
        return "the caller disconnected after " + elapsed + " in the queue";
    }
    const std::string silence_text =
        p_end.value("first_part") == "1"
            ? "in mid-response, server silent for "
            : "before the first part, server silent for ";
    return "the caller disconnected after " + elapsed + ", " + silence_text +
           format_ms(p_end.number("silent_ms")) + "; " + describe_send(*p_sent);
}

} // namespace

std::optional<log_line> log_line::parse(std::string_view p_text,
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
        const auto prefix = p_text.substr(0, end + 1);
        node = prefix.substr(prefix.rfind(' ') + 1);
    }
    return log_line(std::string(node), std::string(p_text.substr(start)));
}

std::string log_line::value(std::string_view p_key) const
{
    const std::string key = " " + std::string(p_key) + "=";
    const auto key_start = (" " + text_).find(key);
    if (key_start == std::string::npos)
    {
        return {};
    }
    const auto value_start = key_start + key.size() - 1;
    if (text_[value_start] == '"')
    {
        return text_.substr(value_start + 1,
                            text_.find('"', value_start + 1) - value_start - 1);
    }
    return text_.substr(value_start,
                        text_.find(' ', value_start) - value_start);
}

double log_line::number(std::string_view p_key) const
{
    return std::atof(value(p_key).c_str());
}

bool log_line::has_event(std::string_view p_event) const
{
    return value("event") == p_event;
}

request_diagnosis diagnose_request(const std::vector<log_line>& p_lines)
{
    const log_line* sent = find_last(p_lines, "request.sent");
    const log_line* failed_call = find_last(p_lines, "call.failed");
    const std::string failed_call_text =
        failed_call == nullptr
            ? ""
            : "; the call to " + failed_call->value("server") +
                  " failed after " + format_ms(failed_call->number("after_ms"));
    if (const auto* end = find_last(p_lines, "request.answered"))
    {
        return diagnose_response(*end, sent);
    }
    if (const auto* end = find_last(p_lines, "request.refused"))
    {
        return {request_status::failed,
                "refused: " + end->value("reason") + ", retry after " +
                    format_ms(end->number("come_back_ms")) + failed_call_text};
    }
    if (const auto* end = find_last(p_lines, "request.given_up"))
    {
        const std::string send_text =
            sent == nullptr ? "" : "; " + describe_send(*sent);
        return {request_status::failed, "given up: " + end->value("reason") +
                                            send_text + failed_call_text};
    }
    if (const auto* end = find_last(p_lines, "request.abandoned"))
    {
        return {request_status::failed, describe_disconnect(*end, sent)};
    }
    if (const auto* restart = find_last(p_lines, "node.started"))
    {
        return {request_status::failed, "its node stopped while the request "
                                        "was in progress, and restarted at " +
                                            restart->value("time")};
    }
    return {};
}

std::map<std::string, std::vector<log_line>>
group_by_request(const std::vector<log_line>& p_lines)
{
    std::map<std::string, std::vector<log_line>> requests;
    std::map<std::string, std::set<std::string>> request_ids_by_node;
    for (const auto& line : p_lines)
    {
        if (const std::string id = line.value("request"); !id.empty())
        {
            requests[id].push_back(line);
            request_ids_by_node[line.node()].insert(id);
            continue;
        }
        if (!line.has_event("node.started"))
        {
            continue;
        }
        for (const auto& id : request_ids_by_node[line.node()])
        {
            requests[id].push_back(line);
        }
        request_ids_by_node[line.node()].clear();
    }
    return requests;
}

} // namespace peridotspar
