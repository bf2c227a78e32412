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
    /// Nothing if the text is no line of a log. The word before the line, where
    /// several nodes write one file, names its node, else `p_node` does.
    [[nodiscard]] static std::optional<log_line>
    parse(std::string_view p_text, std::string_view p_node = {});

    [[nodiscard]] const std::string& text() const { return text_; }
    [[nodiscard]] const std::string& node() const { return node_; }
    /// The value of a key, without quotes; empty if the line has none.
    [[nodiscard]] std::string value(std::string_view p_key) const;
    /// A number; 0 if the line has none.
    [[nodiscard]] double number(std::string_view p_key) const;
    [[nodiscard]] bool has_event(std::string_view p_event) const;

private:
    log_line(std::string p_node, std::string p_text)
        : node_(std::move(p_node)), text_(std::move(p_text))
    {
    }

    std::string node_;
    std::string text_;
};

/// What became of a request, from its own lines.
enum class request_status : std::uint8_t
{
    on_time,
    late,
    failed,
    unknown, ///< The lines don't tell its end.
};

struct request_diagnosis
{
    request_status status_ = request_status::unknown;
    std::string cause_; ///< Why it failed or was late; else empty.
};

/// Judges a request by its lines and by the starts of its node, in order of
/// time: a request that is open when its node starts anew ended with it.
[[nodiscard]] request_diagnosis
diagnose_request(const std::vector<log_line>& p_lines);

/// The lines of all requests, by id, each with the later starts of its node.
[[nodiscard]] std::map<std::string, std::vector<log_line>>
group_by_request(const std::vector<log_line>& p_lines);

} // namespace peridotspar
