#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspar
{

/// How a request ended, as its caller saw it.
enum class request_result : std::uint8_t
{
    answered,            ///< A server's answer was delivered whole.
    refused,             ///< Not run; told when to come back.
    failed,              ///< May have run; no whole answer.
    caller_disconnected, ///< The caller left.
};

[[nodiscard]] std::string_view to_string(request_result p_result) noexcept;

/// What is counted of a request when it ends.
struct request_outcome
{
    std::string route_;
    std::string account_; ///< Empty on public routes.
    request_result result_ = request_result::answered;
    bool on_time_ = false; ///< Answered within all its targets.
    std::optional<duration> time_to_first_part_;
    std::optional<duration> longest_pause_;
    duration wait_time_{}; ///< Until it was first sent.
    unsigned sends_ = 0;
};

/// The Prometheus metrics of an entry node. Belongs to one thread.
class entry_metrics
{
public:
    entry_metrics();
    ~entry_metrics();
    entry_metrics(const entry_metrics&) = delete;
    entry_metrics& operator=(const entry_metrics&) = delete;

    void record(const request_outcome& p_outcome);
    /// Sets a value that is read elsewhere when the metrics are fetched.
    void set_gauge(const std::string& p_name, double p_value);
    /// All metrics in the text format of Prometheus.
    [[nodiscard]] std::string to_text() const;

private:
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace peridotspar
