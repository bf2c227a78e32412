#include "ingress/request_log.hpp"

#include "core/log.hpp"
#include "core/text.hpp"

namespace peridotspar::ingress
{

namespace
{

/// The keys of the parts in hexadecimal, separated by commas.
std::string to_text(const std::vector<routing::prompt_part>& p_parts)
{
    std::string text;
    for (const auto& part : p_parts)
    {
        text += (text.empty() ? "" : ",") + to_hex(part.id_);
    }
    return text;
}

} // namespace

void request_log::sent(const dispatch::request_profile& p_profile,
                       const dispatch::assignment& p_assignment,
                       unsigned p_send,
                       std::string_view p_resumed_attempt) const
{
    log_event(log_level::info, "request.sent")
        .with("request", attempt_)
        .with("route", route_)
        .with("priority", p_profile.priority_)
        .with("urgency", p_profile.urgency_)
        .with("server", p_assignment.server_.instance_.id_)
        .with("version", p_assignment.server_.version_)
        .with("resumes", p_resumed_attempt)
        .with("waited_ms", to_ms(p_assignment.sent_at_ - p_profile.arrived_))
        .with("expected_ms",
              to_ms(p_assignment.expected_answer_at_ - p_assignment.sent_at_))
        .with("reading_ms", to_ms(p_assignment.prefill_time_))
        .with("fetch", !p_assignment.fetch_from_.empty())
        .with("send", p_send);
}

void request_log::origin_stored(bool p_is_stored, duration p_held) const
{
    log_event(p_is_stored ? log_level::info : log_level::warning, "stream.held")
        .with("request", attempt_)
        .with("origin_stored", p_is_stored)
        .with("held_ms", to_ms(p_held));
}

void request_log::origin_found(const routing::stream_origin& p_origin,
                               std::string_view p_resumed_attempt,
                               std::string_view p_source, duration p_age,
                               duration p_waited) const
{
    log_event(log_level::info, "stream.taken_up")
        .with("request", attempt_)
        .with("resumes", p_resumed_attempt)
        .with("service", p_origin.service_.value())
        .with("version", p_origin.version_)
        .with("known_from", p_source)
        .with("age_ms", to_ms(p_age))
        .with("waited_ms", to_ms(p_waited));
}

void request_log::foreign_response(const std::string& p_response_id,
                                   const std::string& p_server) const
{
    log_event(log_level::info, "answer.foreign")
        .with("request", attempt_)
        .with("bears", p_response_id)
        .with("server", p_server);
}

void request_log::unidentified_response(int p_status,
                                        const std::string& p_server) const
{
    log_event(log_level::warning, "answer.unidentified")
        .with("request", attempt_)
        .with("status", p_status)
        .with("server", p_server);
}

void request_log::rejected(const std::string& p_server, int p_status,
                           duration p_elapsed) const
{
    log_event(log_level::info, "request.turned_away")
        .with("request", attempt_)
        .with("server", p_server)
        .with("status", p_status)
        .with("after_ms", to_ms(p_elapsed));
}

void request_log::call_failed(const lost_call& p_call) const
{
    log_event(log_level::info, "call.failed")
        .with("request", attempt_)
        .with("server", p_call.server_)
        .with("sent", p_call.sent_)
        .with("after_ms", to_ms(p_call.elapsed_))
        .with("answering_ms", to_ms(p_call.answering_))
        .with("ended_by", to_string(p_call.end_))
        .with("silent_ms", to_ms(p_call.silence_))
        .with("stall_limit_ms", to_ms(p_call.stall_limit_))
        .with("events", p_call.events_)
        .with("parts", to_text(p_call.parts_));
}

void request_log::stalled(const std::string& p_server,
                          const dispatch::silent_call& p_call) const
{
    log_event(log_level::info, "call.stalled")
        .with("request", attempt_)
        .with("server", p_server)
        .with("silent_ms", to_ms(p_call.silence_))
        .with("begun", p_call.begun_)
        .with("server_responds_ms", to_ms(p_call.server_responding_time_))
        .with("others_respond", p_call.others_respond_);
}

void request_log::stays(const std::string& p_server, resend_obstacle p_obstacle,
                        duration p_silence) const
{
    log_event(log_level::info, "call.stays")
        .with("request", attempt_)
        .with("server", p_server)
        .with("no_resend", to_string(p_obstacle))
        .with("silent_ms", to_ms(p_silence));
}

void request_log::stall_ended(const std::string& p_server,
                              duration p_silence) const
{
    log_event(log_level::info, "call.stall_ended")
        .with("request", attempt_)
        .with("server", p_server)
        .with("silent_ms", to_ms(p_silence));
}

void request_log::interrupted(const std::string& p_server,
                              resend_obstacle p_obstacle) const
{
    log_event(log_level::info, "stream.interrupted")
        .with("request", attempt_)
        .with("server", p_server)
        .with("no_resend", to_string(p_obstacle));
}

void request_log::broken_off(const std::string& p_server, std::uint64_t p_bytes,
                             std::uint64_t p_events) const
{
    log_event(log_level::info, "answer.broken_off")
        .with("request", attempt_)
        .with("server", p_server)
        .with("bytes", p_bytes)
        .with("events", p_events);
}

void request_log::handed_over(const std::string& p_peer,
                              std::string_view p_reason,
                              std::size_t p_handovers, duration p_waited) const
{
    log_event(log_level::info, "request.handed_over")
        .with("request", attempt_)
        .with("route", route_)
        .with("peer", p_peer)
        .with("reason", p_reason)
        .with("handovers", p_handovers)
        .with("waited_ms", to_ms(p_waited));
}

void request_log::handover_ended(const std::string& p_peer,
                                 dispatch::handover_result p_result,
                                 duration p_elapsed) const
{
    log_event(log_level::info, "request.handover_ended")
        .with("request", attempt_)
        .with("peer", p_peer)
        .with("result", dispatch::to_string(p_result))
        .with("after_ms", to_ms(p_elapsed));
}

void request_log::out_of_order(const std::string& p_server,
                               const std::string& p_last_event) const
{
    log_event(log_level::warning, "answer.out_of_order")
        .with("request", attempt_)
        .with("server", p_server)
        .with("last_event", p_last_event);
}

void request_log::too_long(const std::string& p_server,
                           std::uint64_t p_bytes) const
{
    log_event(log_level::warning, "answer.too_long")
        .with("request", attempt_)
        .with("server", p_server)
        .with("bytes", p_bytes);
}

void request_log::refused(const std::string& p_reason,
                          duration p_retry_after) const
{
    log_event(log_level::info, "request.refused")
        .with("request", attempt_)
        .with("route", route_)
        .with("reason", p_reason)
        .with("come_back_ms", to_ms(p_retry_after));
}

void request_log::given_up(int p_status, const std::string& p_reason,
                           unsigned p_sends, bool p_response_begun,
                           resend_obstacle p_obstacle) const
{
    log_event(log_level::info, "request.given_up")
        .with("request", attempt_)
        .with("route", route_)
        .with("status", p_status)
        .with("reason", p_reason)
        .with("sends", p_sends)
        .with("begun", p_response_begun)
        .with("no_resend", to_string(p_obstacle));
}

void request_log::answered(const dispatch::request_profile& p_profile,
                           const response_summary& p_summary) const
{
    log_event(log_level::info, "request.answered")
        .with("request", attempt_)
        .with("route", route_)
        .with("status", p_summary.status_)
        .with("server", p_summary.server_)
        .with("first_ms", to_ms(p_summary.time_to_first_part_))
        .with("target_ms", to_ms(p_profile.answer_target_))
        .with("longest_pause_ms", to_ms(p_summary.longest_pause_))
        .with("pause_target_ms", to_ms(p_profile.pause_target_))
        .with("total_ms", to_ms(p_summary.total_time_))
        .with("sends", p_summary.sends_)
        .with("framing", http::to_string(p_summary.framing_))
        .with("bytes", p_summary.body_bytes_)
        .with("events", p_summary.events_)
        .with("in_event", p_summary.in_event_);
}

void request_log::abandoned(const abandonment& p_abandonment) const
{
    log_event(log_level::info, "request.abandoned")
        .with("request", attempt_)
        .with("route", route_)
        .with("after_ms", to_ms(p_abandonment.elapsed_))
        .with("sent", p_abandonment.sent_)
        .with("server", p_abandonment.server_)
        .with("first_part", p_abandonment.first_part_received_)
        .with("silent_ms", to_ms(p_abandonment.silence_))
        .with("unacked_bytes", p_abandonment.unacknowledged_bytes_);
}

} // namespace peridotspar::ingress
