#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspar
{

/// How a request ended from its caller's point of view.
enum class request_result : std::uint8_t
{
    answered, ///< A server's complete response was delivered.
    refused,  ///< Not run; the response states when to retry.
    failed,   ///< May have run, but no complete response was delivered.
    caller_disconnected, ///< The caller closed its connection first.
};

/// The value of the metrics' `result` label.
[[nodiscard]] std::string_view to_string(request_result p_result) noexcept;

/// The measurements of a request that has ended.
struct request_outcome
{
    std::string route_;
    std::string account_; ///< Empty on public routes.
    request_result result_ = request_result::answered;
    /// Answered with a status below 500, within all its latency targets.
    bool on_time_ = false;
    /// From the request's arrival to the first part of the response; empty if
    /// none arrived.
    std::optional<duration> time_to_first_part_;
    /// Between two parts of a stream; empty if the response wasn't streamed.
    std::optional<duration> longest_pause_;
    /// From the request's arrival until it was first sent to a server, or until
    /// its end if it never was.
    duration wait_time_{};
    unsigned sends_ = 0; ///< Including the first one.
};

/// The Prometheus metrics of an entry node. Use only from one thread.
class entry_metrics
{
public:
    entry_metrics();
    ~entry_metrics();
    entry_metrics(const entry_metrics&) = delete;
    entry_metrics& operator=(const entry_metrics&) = delete;

    /// Counts a request that has ended.
    void record(const request_outcome& p_outcome);
    /// Sets the gauge `peridotspar_entry_state` labelled `what=p_name`. Call
    /// for each gauge before `to_text`.
    void set_gauge(const std::string& p_name, double p_value);
    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string to_text() const;

private:
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace peridotspar
