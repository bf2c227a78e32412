#include "daemon/completion_accumulator.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace peridotspar;
using json = nlohmann::json;

TEST_CASE("the events of a chat stream are joined into one completion")
{
    completion_accumulator text(true);
    text.add_events(
        "data: {\"choices\":[{\"delta\":{\"content\":\"Hel\"}}]}\n\n"
        "data: {\"choices\":[{\"delta\":{\"content\":\"lo\"},"
        "\"finish_reason\":\"length\"}]}\n\n");
    text.add_events(": comment\n\ndata: not json\n\n");
    const json answer = json::parse(text.to_json("id", "m", 5));
    CHECK(answer["choices"][0]["message"]["content"] == "Hello");
    CHECK(answer["choices"][0]["finish_reason"] == "length");
    CHECK(answer["usage"]["completion_tokens"] == 2);
    CHECK(answer["usage"]["total_tokens"] == 7);
}

TEST_CASE("a text completion holds its output in the text field")
{
    completion_accumulator text(false);
    text.add_events("data: {\"choices\":[{\"text\":\"a\"}]}\n\n");
    const json answer = json::parse(text.to_json("id", "m", 1));
    CHECK(answer["object"] == "text_completion");
    CHECK(answer["choices"][0]["text"] == "a");
}

// Guards against an end of the process: a value of another type threw.
TEST_CASE("events with values of other types add no text")
{
    for (const bool is_chat : {true, false})
    {
        completion_accumulator text(is_chat);
        for (const std::string choices :
             {"7", "[]", "{}", "[7]", "null", R"([{"delta":null}])",
              R"([{"delta":7,"text":7}])", R"([{"delta":[],"text":[]}])",
              R"([{"delta":{"content":7}}])",
              R"([{"delta":{"content":null},"text":null,)"
              R"("finish_reason":"stop"}])"})
        {
            text.add_events("data: {\"choices\":" + choices + "}\n\n");
        }
        text.add_events("data: {\"choices\":[{\"text\":\"a\","
                        "\"delta\":{\"content\":\"a\"}}]}\n\n");
        const json choice =
            json::parse(text.to_json("id", "m", 1))["choices"][0];
        CHECK(choice["finish_reason"] == "stop");
        CHECK((is_chat ? choice["message"]["content"] : choice["text"]) == "a");
    }
}
