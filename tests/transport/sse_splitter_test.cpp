#include "transport/sse_splitter.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

TEST_CASE("events are whole wherever the stream is split")
{
    const std::string stream = "data: {\"a\":1}\n\ndata: {\"b\":2}\n\n"
                               "data: [DONE]\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut)
    {
        sse_splitter splitter;
        const auto first = splitter.feed(stream.substr(0, cut));
        const auto second = splitter.feed(stream.substr(cut));
        CHECK(first.events_ + second.events_ == 2);
        CHECK(first.bytes_ + second.bytes_ ==
              "data: {\"a\":1}\n\ndata: {\"b\":2}\n\n");
        CHECK((first.done_ || second.done_));
    }
}

TEST_CASE("an incomplete event is kept back")
{
    sse_splitter splitter;
    const auto taken = splitter.feed("data: {\"a\":1}\n\ndata: {\"b");
    CHECK(taken.events_ == 1);
    CHECK(taken.bytes_ == "data: {\"a\":1}\n\n");
    CHECK_FALSE(taken.done_);
}

TEST_CASE("events end at an empty line with any line ends")
{
    for (const std::string line_end : {"\n", "\r", "\r\n"})
    {
        const std::string stream = "data: 1" + line_end + line_end +
                                   "data: [DONE]" + line_end + line_end;
        for (std::size_t cut = 0; cut <= stream.size(); ++cut)
        {
            sse_splitter splitter;
            const auto first = splitter.feed(stream.substr(0, cut));
            const auto second = splitter.feed(stream.substr(cut));
            CHECK(first.bytes_ + second.bytes_ == "data: 1\n\n");
            CHECK((first.done_ || second.done_));
        }
    }
}
