#include "daemon/completion_accumulator.hpp"

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

/// A member's text; empty if it has another type, as engines send null for no
/// text.
std::string text_of(const json& p_object, const char* p_name)
{
    const auto found = p_object.find(p_name);
    return found != p_object.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
}

/// The first choice in an event; null if it has none.
json first_choice(std::string_view p_event)
{
    const json event = json::parse(p_event, nullptr, false);
    const auto choices =
        event.is_object() ? event.find("choices") : event.end();
    const bool has_choice =
        choices != event.end() && choices->is_array() && !choices->empty();
    return has_choice ? choices->front() : json();
}

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
        const json choice = first_choice(event.substr(prefix.size()));
        if (!choice.is_object())
        {
            continue;
        }
        const json delta = choice.value("delta", json());
        text_ +=
            text_of(is_chat_ ? delta : choice, is_chat_ ? "content" : "text");
        if (const std::string reason = text_of(choice, "finish_reason");
            !reason.empty())
        {
            finish_reason_ = reason;
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
