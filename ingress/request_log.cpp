#include "ingress/request_log.hpp"

#include "core/log.hpp"

namespace peridotspar::ingress
{

void request_log::sent(const dispatch::request_profile& p_work,
                       const dispatch::assignment& p_placed,
                       unsigned p_send) const
{
    log_event(log_level::info, "request.sent")
        .with("request", attempt_)
        .with("route", route_)
        .with("priority", p_work.priority_)
        .with("urgency", p_work.urgency_)
        .with("server", p_placed.server_.instance_.id_)
        .with("waited_ms", to_ms(p_placed.sent_at_ - p_work.arrived_))
        .with("expected_ms",
              to_ms(p_placed.expected_answer_at_ - p_placed.sent_at_))
        .with("reading_ms", to_ms(p_placed.prefill_time_))
        .with("fetch", !p_placed.fetch_from_.empty())
        .with("send", p_send);
}

void request_log::foreign_answer(const std::string& p_bears,
                                 const std::string& p_server) const
{
    log_event(log_level::info, "answer.foreign")
        .with("request", attempt_)
        .with("bears", p_bears)
        .with("server", p_server);
}

void request_log::turned_away(const std::string& p_server, int p_status,
                              duration p_after) const
{
    log_event(log_level::info, "request.turned_away")
        .with("request", attempt_)
        .with("server", p_server)
        .with("status", p_status)
        .with("after_ms", to_ms(p_after));
}

void request_log::call_failed(const std::string& p_server, bool p_sent,
                              duration p_after) const
{
    log_event(log_level::info, "call.failed")
        .with("request", attempt_)
        .with("server", p_server)
        .with("sent", p_sent)
        .with("after_ms", to_ms(p_after));
}

void request_log::refused(const std::string& p_reason,
                          duration p_come_back) const
{
    log_event(log_level::info, "request.refused")
        .with("request", attempt_)
        .with("route", route_)
        .with("reason", p_reason)
        .with("come_back_ms", to_ms(p_come_back));
}

void request_log::given_up(int p_status, const std::string& p_reason,
                           unsigned p_sends, bool p_begun) const
{
    log_event(log_level::info, "request.given_up")
        .with("request", attempt_)
        .with("route", route_)
        .with("status", p_status)
        .with("reason", p_reason)
        .with("sends", p_sends)
        .with("begun", p_begun);
}

void request_log::answered(const dispatch::request_profile& p_work,
                           const answer& p_answer) const
{
    log_event(log_level::info, "request.answered")
        .with("request", attempt_)
        .with("route", route_)
        .with("status", p_answer.status_)
        .with("server", p_answer.server_)
        .with("first_ms", to_ms(p_answer.first_))
        .with("target_ms", to_ms(p_work.answer_target_))
        .with("longest_pause_ms", to_ms(p_answer.longest_pause_))
        .with("pause_target_ms", to_ms(p_work.pause_target_))
        .with("total_ms", to_ms(p_answer.total_))
        .with("sends", p_answer.sends_);
}

void request_log::abandoned(const leaving& p_leaving) const
{
    log_event(log_level::info, "request.abandoned")
        .with("request", attempt_)
        .with("route", route_)
        .with("after_ms", to_ms(p_leaving.after_))
        .with("sent", p_leaving.sent_)
        .with("server", p_leaving.server_)
        .with("first_part", p_leaving.first_part_)
        .with("silent_ms", to_ms(p_leaving.silent_));
}

} // namespace peridotspar::ingress
