#pragma once

#include "core/clock.hpp"
#include "usage/usage_collector.hpp"
#include "usage/usage_count.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace peridotspar
{

/// The requests by account that began in one window, on all nodes.
struct usage_report
{
    window_id window_;
    std::map<std::string, std::uint64_t> counts_;
};

/// Result of sending a report.
enum class report_result
{
    done,     ///< Accepted.
    retry,    ///< Not accepted, or unknown; it is sent again.
    rejected, ///< Refused for good; it is not sent again.
};

/// Which reports are fixed, sent and done. A report is sent only after its
/// content is in the record in the store, so that a later holder sends the same
/// content. Has no clock. Not thread-safe.
class usage_reports
{
public:
    /// Windows that are fixed but not done. When there are more, the oldest
    /// ones, whose reports are late anyway, are given up.
    static constexpr std::size_t max_fixed = 6;

    /// `p_settle`: how long after its end a window is fixed.
    usage_reports(duration p_window, duration p_settle);
    /// Tells since when this node collects counts without a gap, in
    /// milliseconds of true time since the Unix epoch. Only windows that begin
    /// later are reported if they have no counts.
    void set_collecting_since(std::int64_t p_unix_ms);
    /// Takes over what earlier holders fixed, after a change of holder. An
    /// empty payload is that of a record on which nobody has worked. Returns
    /// false if the payload is malformed. It is then ignored, and windows that
    /// an earlier holder may have fixed are skipped, as by `skip_settled`.
    [[nodiscard]] bool load(const std::string& p_payload);
    /// Skips all windows that are settled at the next `tick`, unless they are
    /// fixed already. Call this after `load` if the record may be older than
    /// the last one, because the store lost it or came back from a copy:
    /// windows that it lacks may have been reported. The payload tells later
    /// holders, so that it should be in the store by the write that takes over.
    void skip_settled() { skip_settled_ = true; }
    /// Fixes the windows that ended `p_settle` ago. `p_unix_ms`: true time in
    /// milliseconds since the Unix epoch.
    void tick(std::int64_t p_unix_ms, const usage_collector& p_collected);
    /// The windows that are fixed but not done, the last one done, and up to
    /// which one windows were skipped, as JSON. Empty if there are none.
    [[nodiscard]] std::string payload() const;
    /// The oldest report that isn't done, if its content is in the record in
    /// the store, whose payload is `p_payload_in_store`. Nothing while a report
    /// is being sent, or waits for its retry. The caller reports the result by
    /// `on_sent`.
    [[nodiscard]] std::optional<usage_report>
    next(const std::string& p_payload_in_store, time_point p_now);
    /// Takes the result of the report that `next` returned.
    void on_sent(window_id p_window, report_result p_result, time_point p_now);

private:
    using account_counts = std::map<std::string, std::uint64_t>;
    struct content
    {
        std::optional<window_id> done_;
        /// Windows up to this one that are not in `fixed_` are not reported. It
        /// is in the record because the next holder must skip them too.
        std::optional<window_id> skipped_;
        std::map<window_id, account_counts> fixed_;
    };

    [[nodiscard]] static std::optional<content>
    parse(const std::string& p_payload);
    [[nodiscard]] static std::string write(const content& p_content);
    void skip(window_id p_window);
    void fix(window_id p_window, const usage_collector& p_collected);
    void raise_decided(window_id p_window);
    [[nodiscard]] bool is_in_store(const std::string& p_payload_in_store);

    duration window_;
    duration settle_;
    std::optional<window_id> collecting_from_;
    content content_;
    /// Windows up to this one are fixed or skipped.
    std::optional<window_id> decided_;
    /// Windows up to this one may have been sent by this node.
    std::optional<window_id> offered_;
    bool skip_settled_ = false;
    std::optional<window_id> in_flight_;
    time_point retry_at_{};
    duration retry_wait_;
    // Caches: the content as JSON, and the record in the store.
    mutable std::optional<std::string> payload_;
    std::string stored_payload_;
    std::optional<content> stored_;
};

} // namespace peridotspar
