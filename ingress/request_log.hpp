#pragma once

#include "core/clock.hpp"
#include "dispatch/handover_policy.hpp"
#include "dispatch/placement.hpp"
#include "dispatch/request_profile.hpp"
#include "dispatch/stall_policy.hpp"
#include "http/message.hpp"
#include "ingress/call_end.hpp"
#include "routing/stream_versions.hpp"

#include <string>
#include <vector>

namespace peridotspar::ingress
{

/// Logs the events of one request. The event names and keys are parsed by
/// `observe/request_diagnosis`. Use only from the node's thread.
class request_log
{
public:
    request_log(std::string p_attempt, std::string p_route)
        : attempt_(std::move(p_attempt)), route_(std::move(p_route))
    {
    }

    void sent(const dispatch::request_profile& p_profile,
              const dispatch::assignment& p_assignment, unsigned p_send,
              std::string_view p_resumed_attempt) const;
    /// Events were held until the stream's origin was in the store, or in vain.
    void origin_stored(bool p_is_stored, duration p_held) const;
    /// The request goes on with a stream of that origin. `p_age`: since this
    /// node knows it; `p_waited`: since the request's arrival.
    void origin_found(const routing::stream_origin& p_origin,
                      std::string_view p_resumed_attempt,
                      std::string_view p_source, duration p_age,
                      duration p_waited) const;
    /// The server sent a response with another request's attempt id.
    void foreign_response(const std::string& p_response_id,
                          const std::string& p_server) const;
    /// The server sent a response without an attempt id.
    void unidentified_response(int p_status, const std::string& p_server) const;
    void rejected(const std::string& p_server, int p_status,
                  duration p_elapsed) const;

    /// The logged facts of a call that ended without a complete response.
    struct lost_call
    {
        std::string server_;
        call_end end_ = call_end::connection;
        bool sent_ = false; ///< Bytes of the request had been sent.
        duration elapsed_{};
        /// Since the response's first part; zero if there was none.
        duration answering_{};
        duration silence_{};     ///< Since the server's last byte, or the send.
        duration stall_limit_{}; ///< A longer silence counts as a stall.
        std::uint64_t events_ = 0; ///< Complete ones, if it is a stream.
        std::vector<routing::prompt_part> parts_;
    };
    void call_failed(const lost_call& p_call) const;
    /// The server counts as stalled.
    void stalled(const std::string& p_server,
                 const dispatch::silent_call& p_call) const;
    /// The request stays at a stalled server.
    void stays(const std::string& p_server, resend_obstacle p_obstacle,
               duration p_silence) const;
    /// The server sends again after `p_silence`.
    void stall_ended(const std::string& p_server, duration p_silence) const;
    /// A stream waits to be resumed.
    void interrupted(const std::string& p_server,
                     resend_obstacle p_obstacle) const;
    /// A stream without framing ended with its connection, but not after an
    /// event. `p_events` are its complete ones.
    void broken_off(const std::string& p_server, std::uint64_t p_bytes,
                    std::uint64_t p_events) const;
    /// `p_waited`: since the request's arrival.
    void handed_over(const std::string& p_peer, std::string_view p_reason,
                     std::size_t p_handovers, duration p_waited) const;
    void handover_ended(const std::string& p_peer,
                        dispatch::handover_result p_result,
                        duration p_elapsed) const;
    /// The server that resumed a stream sent something other than the event
    /// after `p_last_event`.
    void out_of_order(const std::string& p_server,
                      const std::string& p_last_event) const;
    /// The response is cut, as it is too long or there is no room for it.
    void too_long(const std::string& p_server, std::uint64_t p_bytes) const;
    void refused(const std::string& p_reason, duration p_retry_after) const;
    /// `p_obstacle`: why the request isn't sent again, if that was considered.
    void given_up(int p_status, const std::string& p_reason, unsigned p_sends,
                  bool p_response_begun, resend_obstacle p_obstacle) const;

    /// The logged facts of a request that ended with a response. Durations
    /// count from the request's arrival.
    struct response_summary
    {
        int status_ = 0;
        std::string server_;
        duration time_to_first_part_{};
        duration longest_pause_{};
        duration total_time_{};
        unsigned sends_ = 0;
        http::framing framing_ = http::framing::length;
        std::uint64_t body_bytes_ = 0; ///< Of the last response.
        std::uint64_t events_ = 0;     ///< Complete ones, if it is a stream.
        bool in_event_ = false;        ///< It ended within an event.
    };
    void answered(const dispatch::request_profile& p_profile,
                  const response_summary& p_summary) const;

    /// The logged facts of a request whose caller disconnected. `silence_` is
    /// the time since the server's last byte, or the send.
    struct abandonment
    {
        duration elapsed_{};
        bool sent_ = false;
        std::string server_;
        bool first_part_received_ = false;
        duration silence_{};
        /// Of the request, when the connection to the server was closed.
        std::size_t unacknowledged_bytes_ = 0;
    };
    void abandoned(const abandonment& p_abandonment) const;

private:
    std::string attempt_;
    std::string route_;
};

} // namespace peridotspar::ingress
