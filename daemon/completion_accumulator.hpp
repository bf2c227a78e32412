#pragma once

#include <string>
#include <string_view>

namespace peridotspar
{

/// Assembles the server-sent events of an engine into one completion object,
/// for a caller that didn't ask for a stream.
class completion_accumulator
{
public:
    explicit completion_accumulator(bool p_chat) : is_chat_(p_chat) {}

    /// Adds complete server-sent events. Events that aren't a completion chunk
    /// are skipped.
    void add_events(std::string_view p_events);
    /// Returns the response as an OpenAI completion object.
    [[nodiscard]] std::string to_json(const std::string& p_id,
                                      const std::string& p_model,
                                      std::uint32_t p_prompt_tokens) const;
    /// Number of completion chunks added, each of which counts as one token.
    [[nodiscard]] std::uint32_t tokens() const { return tokens_; }

private:
    bool is_chat_;
    std::string text_;
    std::string finish_reason_ = "stop";
    std::uint32_t tokens_ = 0;
};

} // namespace peridotspar
