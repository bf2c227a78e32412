#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspar
{

/// One parsed log line of key=value pairs, which start with the time.
class log_line
{
public:
    /// Parses a line; `nullopt` if the text isn't a log line. In a file that
    /// several nodes write, the word before the `time` key is the node's name;
    /// without one, the line belongs to `p_node`.
    [[nodiscard]] static std::optional<log_line>
    parse(std::string_view p_text, std::string_view p_node = {});

    /// The line from its time on.
    [[nodiscard]] const std::string& text() const { return text_; }
    [[nodiscard]] const std::string& node() const { return node_; }
    /// The value of a key, without quotes; empty if the line lacks the key.
    [[nodiscard]] std::string value(std::string_view p_key) const;
    /// The numeric value of a key; 0 if the line lacks the key.
    [[nodiscard]] double number(std::string_view p_key) const;
    /// Whether the line logs the event of this name.
    [[nodiscard]] bool has_event(std::string_view p_event) const;

private:
    log_line(std::string p_node, std::string p_text)
        : node_(std::move(p_node)), text_(std::move(p_text))
    {
    }

    std::string node_;
    std::string text_;
};

/// How a request ended, as far as the logs show.
enum class request_status : std::uint8_t
{
    on_time,
    late,
    failed,
    unknown, ///< The lines don't show how it ended.
};

/// How a request ended, and why.
struct request_diagnosis
{
    request_status status_ = request_status::unknown;
    std::string cause_; ///< Why it failed or was late, otherwise empty.
};

/// Determines how a request ended from its own log lines and the later starts
/// of its node, sorted by time. A request that was in progress when its node
/// restarted counts as failed.
[[nodiscard]] request_diagnosis
diagnose_request(const std::vector<log_line>& p_lines);

/// Groups lines, sorted by time, by request id. A group also contains the next
/// start of each node that logged the request.
[[nodiscard]] std::map<std::string, std::vector<log_line>>
group_by_request(const std::vector<log_line>& p_lines);

} // namespace peridotspar
