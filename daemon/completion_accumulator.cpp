#include "daemon/completion_accumulator.hpp"

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

} // namespace

void completion_accumulator::add_events(std::string_view p_events)
{
    static constexpr std::string_view prefix = "data: ";
    std::size_t position = 0;
    while (position < p_events.size())
    {
        auto end = p_events.find("\n\n", position);
        end = end == std::string_view::npos ? p_events.size() : end;
        const auto event = p_events.substr(position, end - position);
        position = end + 2;
        if (!event.starts_with(prefix))
        {
            continue;
        }
        const json parsed =
            json::parse(event.substr(prefix.size()), nullptr, false);
        if (!parsed.is_object() || !parsed.contains("choices") ||
            parsed["choices"].empty())
        {
            continue;
        }
        const json& choice = parsed["choices"][0];
        text_ +=
            is_chat_
                ? choice.value("delta", json::object()).value("content", "")
                : choice.value("text", "");
        if (choice.contains("finish_reason") &&
            choice["finish_reason"].is_string())
        {
            finish_reason_ = choice["finish_reason"].get<std::string>();
        }
        ++tokens_;
    }
}

std::string completion_accumulator::to_json(const std::string& p_id,
                                            const std::string& p_model,
                                            std::uint32_t p_prompt_tokens) const
{
    json choice{{"index", 0}, {"finish_reason", finish_reason_}};
    if (is_chat_)
    {
        choice["message"] = {{"role", "assistant"}, {"content", text_}};
    }
    else
    {
        choice["text"] = text_;
    }
    return json{{"id", p_id},
                {"object", is_chat_ ? "chat.completion" : "text_completion"},
                {"model", p_model},
                {"choices", json::array({choice})},
                {"usage",
                 {{"prompt_tokens", p_prompt_tokens},
                  {"completion_tokens", tokens_},
                  {"total_tokens", p_prompt_tokens + tokens_}}}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace peridotspar
