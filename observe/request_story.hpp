#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspar
{

/// One line of a log: key=value pairs after its time.
class log_line
{
public:
    /// Nothing if the text is no line of a log.
    [[nodiscard]] static std::optional<log_line> read(std::string_view p_text);

    [[nodiscard]] const std::string& text() const { return text_; }
    /// The value of a key, without quotes; empty if the line has none.
    [[nodiscard]] std::string value(std::string_view p_key) const;
    /// A number; 0 if the line has none.
    [[nodiscard]] double number(std::string_view p_key) const;
    [[nodiscard]] bool is(std::string_view p_event) const;

private:
    explicit log_line(std::string p_text) : text_(std::move(p_text)) {}

    std::string text_;
};

/// What became of a request, from its own lines.
enum class request_fate : std::uint8_t
{
    on_time,
    late,
    failed,
    unknown, ///< The lines don't tell its end.
};

struct request_verdict
{
    request_fate fate_ = request_fate::unknown;
    std::string cause_; ///< Why it failed or was late; else empty.
};

/// Judges a request by its lines, in order of time.
[[nodiscard]] request_verdict judge(const std::vector<log_line>& p_lines);

/// The lines of all requests, by id.
[[nodiscard]] std::map<std::string, std::vector<log_line>>
lines_by_request(const std::vector<log_line>& p_lines);

} // namespace peridotspar
