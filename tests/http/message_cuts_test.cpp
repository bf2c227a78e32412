#include "http/request_reader.hpp"
#include "http/response_reader.hpp"

#include <doctest/doctest.h>

// Guards against ends of the process (LOST): bytes that arrive in parts around
// the end of a chunked body made the parser's assertions fail.

using namespace peridotspar::http;

namespace
{

struct message
{
    std::string head_;
    std::string body_; ///< As it is sent.
    std::string decoded_;
};

const std::vector<message> bodies{
    {"", "", ""},
    {"Content-Length: 0\r\n", "", ""},
    {"Content-Length: 5\r\n", "hello", "hello"},
    {"Transfer-Encoding: chunked\r\n", "0\r\n\r\n", ""},
    {"Transfer-Encoding: chunked\r\n", "000\r\n\r\n", ""},
    {"Transfer-Encoding: chunked\r\n", "0;x=1\r\n\r\n", ""},
    {"Transfer-Encoding: chunked\r\n", "0\r\nT: 1\r\nU: 2\r\n\r\n", ""},
    {"Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\n\r\n", "a"},
    {"Transfer-Encoding: chunked\r\n",
     "3\r\nhel\r\n2;x=1\r\nlo\r\n0\r\nT: 1\r\n\r\n", "hello"},
};

/// The parts into which two cuts divide a text.
std::vector<std::string> cut(const std::string& p_text, std::size_t p_first,
                             std::size_t p_second)
{
    return {p_text.substr(0, p_first),
            p_text.substr(p_first, p_second - p_first),
            p_text.substr(p_second)};
}

std::vector<std::string> in_single_bytes(const std::string& p_text)
{
    std::vector<std::string> parts;
    for (const char byte : p_text)
    {
        parts.emplace_back(1, byte);
    }
    return parts;
}

std::string request_text(const message& p_message)
{
    return "POST /a HTTP/1.1\r\nHost: h\r\n" + p_message.head_ + "\r\n" +
           p_message.body_;
}

/// Reads all requests; a call between two parts finds nothing new.
std::vector<std::string> read_requests(const std::vector<std::string>& p_parts,
                                       const size_limits& p_limits = {})
{
    request_reader reader(p_limits);
    std::vector<std::string> found;
    const auto read = [&]
    {
        auto next = reader.next();
        while (next && *next)
        {
            found.push_back((*next)->body_);
            next = reader.next();
        }
        REQUIRE(next);
    };
    for (const auto& part : p_parts)
    {
        reader.feed(part);
        read();
        read();
    }
    CHECK_FALSE(reader.has_partial_request());
    return found;
}

/// Reads one response and what follows it, and returns its body.
std::string read_response(const std::vector<std::string>& p_parts)
{
    response_reader reader;
    reader.begin(false);
    std::string body;
    for (const auto& part : p_parts)
    {
        REQUIRE(reader.feed(part));
        body += reader.take_body();
    }
    CHECK((reader.is_complete() || reader.feed_eof()));
    return body;
}

} // namespace

TEST_CASE("a request is read whole wherever it is cut")
{
    for (const auto& each : bodies)
    {
        const std::string text = request_text(each);
        CAPTURE(text);
        for (std::size_t first = 0; first <= text.size(); ++first)
        {
            for (std::size_t second = first; second <= text.size(); ++second)
            {
                REQUIRE(read_requests(cut(text, first, second)) ==
                        std::vector{each.decoded_});
            }
        }
        CHECK(read_requests(in_single_bytes(text)) ==
              std::vector{each.decoded_});
    }
}

TEST_CASE("pipelined requests are read whole wherever they are cut")
{
    for (const auto& first : bodies)
    {
        for (const auto& second : bodies)
        {
            const std::string text = request_text(first) + request_text(second);
            CAPTURE(text);
            const std::vector expected{first.decoded_, second.decoded_};
            for (std::size_t at = 0; at <= text.size(); ++at)
            {
                REQUIRE(read_requests(cut(text, at, text.size())) == expected);
            }
            CHECK(read_requests(in_single_bytes(text)) == expected);
        }
    }
}

TEST_CASE("the longest head is read whole wherever its body is cut")
{
    constexpr std::size_t header_bytes = 1024;
    for (const auto& each : bodies)
    {
        std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n" + each.head_;
        const std::size_t left =
            header_bytes - start.size() - std::string("X: \r\n\r\n").size();
        start += "X: " + std::string(left, 'x') + "\r\n\r\n";
        REQUIRE(start.size() == header_bytes);
        const std::string text = start + each.body_;
        for (std::size_t at = start.size() - 5; at <= text.size(); ++at)
        {
            CHECK(
                read_requests(cut(text, at, text.size()), {header_bytes, 64}) ==
                std::vector{each.decoded_});
        }
    }
}

TEST_CASE("a response is read whole wherever it is cut")
{
    for (const auto& each : bodies)
    {
        const std::string text =
            "HTTP/1.1 200 OK\r\n" + each.head_ + "\r\n" + each.body_;
        CAPTURE(text);
        for (std::size_t first = 0; first <= text.size(); ++first)
        {
            for (std::size_t second = first; second <= text.size(); ++second)
            {
                REQUIRE(read_response(cut(text, first, second)) ==
                        each.decoded_);
            }
        }
        CHECK(read_response(in_single_bytes(text)) == each.decoded_);
    }
}

TEST_CASE("a response is read whole after interim and foreign ones")
{
    const std::string first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                              "\r\n\r\n0\r\n\r\n";
    const std::string text = "HTTP/1.1 100 Continue\r\n\r\n" + first + first;
    for (std::size_t at = 0; at <= text.size(); ++at)
    {
        response_reader reader;
        reader.begin(false);
        REQUIRE(reader.feed(text.substr(0, at)));
        const bool was_complete = reader.is_complete();
        if (was_complete)
        {
            REQUIRE(reader.begin_next());
        }
        REQUIRE(reader.feed(text.substr(at)));
        CHECK(reader.is_complete());
        if (!was_complete)
        {
            REQUIRE(reader.begin_next());
            CHECK(reader.is_complete());
        }
        CHECK_FALSE(reader.has_excess());
    }
}
