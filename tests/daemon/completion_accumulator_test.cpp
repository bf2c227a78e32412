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
