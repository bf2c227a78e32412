#pragma once

#include <string>
#include <string_view>

namespace peridotspar
{

/// Puts the events of an engine's stream together to the whole answer that a
/// caller gets who didn't ask for a stream.
class completion_accumulator
{
public:
    explicit completion_accumulator(bool p_chat) : is_chat_(p_chat) {}

    /// Takes whole server-sent events.
    void add_events(std::string_view p_events);
    /// The answer as an OpenAI completion object.
    [[nodiscard]] std::string to_json(const std::string& p_id,
                                      const std::string& p_model,
                                      std::uint32_t p_prompt_tokens) const;
    [[nodiscard]] std::uint32_t tokens() const { return tokens_; }

private:
    bool is_chat_;
    std::string text_;
    std::string finish_reason_ = "stop";
    std::uint32_t tokens_ = 0;
};

} // namespace peridotspar
