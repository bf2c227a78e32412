#include "http/response_reader.hpp"

#include <doctest/doctest.h>

using peridotspar::http::response_reader;

TEST_CASE("a response with Content-Length is complete at that length")
{
    response_reader reader;
    reader.begin(false);
    REQUIRE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel"));
    REQUIRE(reader.head());
    CHECK(reader.head()->status_ == 200);
    CHECK(reader.take_body() == "hel");
    CHECK_FALSE(reader.is_complete());
    REQUIRE(reader.feed("lo"));
    CHECK(reader.take_body() == "lo");
    CHECK(reader.is_complete());
    CHECK_FALSE(reader.has_excess());
}

TEST_CASE("a head that arrives before its body isn't taken for malformed")
{
    response_reader reader;
    reader.begin(false);
    REQUIRE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"));
    REQUIRE(reader.head());
    REQUIRE(reader.feed("hello"));
    CHECK(reader.take_body() == "hello");
    CHECK(reader.is_complete());
}

TEST_CASE("bytes without end that are no body are cut at a size")
{
    constexpr std::size_t max_bytes = 256U << 10U;
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string line = "Field: value\r\n";
    struct endless
    {
        std::string first_;
        std::string repeated_;
    };
    const std::vector<endless> cases{
        {"HTTP/1.1 200 ", "x"},          {"HTTP/1.1 200 OK\r\nField: ", "x"},
        {"HTTP/1.1 200 OK\r\n", line},   {chunked, "0"},
        {chunked + "5;extension=", "x"}, {chunked + "0\r\nField: ", "x"},
        {chunked + "0\r\n", line},       {"", "HTTP/1.1 100 Continue\r\n\r\n"},
    };
    for (const auto& [first, repeated] : cases)
    {
        CAPTURE(first);
        CAPTURE(repeated);
        std::string bytes;
        while (bytes.size() < 4096)
        {
            bytes += repeated;
        }
        response_reader reader;
        reader.begin(false);
        bool valid = reader.feed(first);
        std::size_t fed = 0;
        for (; valid && fed < max_bytes; fed += bytes.size())
        {
            valid = reader.feed(bytes);
        }
        CHECK_FALSE(valid);
    }
}

TEST_CASE("interim responses are skipped")
{
    response_reader reader;
    reader.begin(false);
    REQUIRE(
        reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n\r\n"));
    REQUIRE(reader.head());
    CHECK(reader.head()->status_ == 204);
    CHECK(reader.is_complete());
}

TEST_CASE("excess bytes are parsed as the next response")
{
    response_reader reader;
    reader.begin(false);
    REQUIRE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
                        "HTTP/1.1 503 No\r\nContent-Length: 1\r\n\r\nb"));
    CHECK(reader.is_complete());
    CHECK(reader.has_excess());
    REQUIRE(reader.begin_next());
    REQUIRE(reader.head());
    CHECK(reader.head()->status_ == 503);
    CHECK(reader.take_body() == "b");
}

TEST_CASE("end of file completes only a response without framing")
{
    response_reader unframed;
    unframed.begin(false);
    REQUIRE(unframed.feed("HTTP/1.1 200 OK\r\n\r\nabc"));
    CHECK(unframed.head()->close_delimited_);
    CHECK(unframed.feed_eof());
    CHECK(unframed.is_complete());

    response_reader cut;
    cut.begin(false);
    REQUIRE(cut.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "3\r\nabc\r\n"));
    CHECK_FALSE(cut.feed_eof());
}

TEST_CASE("bytes that aren't an HTTP response are an error")
{
    response_reader reader;
    reader.begin(false);
    CHECK_FALSE(reader.feed("\x01\x02garbage\r\n\r\n"));
}

TEST_CASE("a response to HEAD has no body despite its Content-Length")
{
    response_reader reader;
    reader.begin(true);
    REQUIRE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"));
    CHECK(reader.is_complete());
}

// Guards against the answer of a server in trouble that reaches the caller with
// a status that isn't any (MIXED), or that is waited for until the deadline.
TEST_CASE("a status that isn't one of an answer makes a response invalid")
{
    for (const std::string status :
         {"000", "001", "099", "101", "600", "601", "999"})
    {
        CAPTURE(status);
        for (const std::string rest :
             {"\r\n\r\nbody", "\r\nContent-Length: 4\r\n\r\nbody",
              "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"})
        {
            response_reader reader;
            reader.begin(false);
            CHECK_FALSE(reader.feed("HTTP/1.1 " + status + " X" + rest));
            CHECK_FALSE(reader.head());
        }
        // Behind an interim response, too.
        response_reader reader;
        reader.begin(false);
        CHECK_FALSE(reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " +
                                status + " X\r\n\r\n"));
    }
    for (const std::string status : {"200", "204", "399", "421", "599"})
    {
        CAPTURE(status);
        response_reader reader;
        reader.begin(false);
        CHECK(reader.feed("HTTP/1.1 102 X\r\n\r\nHTTP/1.1 " + status +
                          " X\r\nContent-Length: 0\r\n\r\n"));
        CHECK(reader.is_complete());
    }
}
