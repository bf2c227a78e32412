#include "http/request_reader.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace peridotspar::http;

namespace
{

const std::string get = "GET /a/b?c=1 HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string post = "POST /a HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: 5\r\n\r\nhello";
const std::string chunked = "POST /a HTTP/1.1\r\nHost: h\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "3\r\nhel\r\n2;x=1\r\nlo\r\n0\r\nTrail: x\r\n\r\n";

int status_of(const std::string& p_bytes, size_limits p_limits = {})
{
    request_reader reader(p_limits);
    reader.feed(p_bytes);
    const auto next = reader.next();
    return next ? 0 : next.error().status_;
}

} // namespace

TEST_CASE("method, target and body are parsed unchanged")
{
    request_reader reader({});
    reader.feed(post);
    const auto next = reader.next();
    REQUIRE((next && *next));
    CHECK((*next)->head_.method_ == "POST");
    CHECK((*next)->head_.target_ == "/a");
    CHECK((*next)->body_ == "hello");
    CHECK_FALSE(reader.has_partial_request());
}

TEST_CASE("a chunked body is decoded and its trailers are dropped")
{
    request_reader reader({});
    reader.feed(chunked);
    const auto next = reader.next();
    REQUIRE((next && *next));
    CHECK((*next)->body_ == "hello");
    CHECK(find_header((*next)->head_.headers_, "Trail") == nullptr);
}

TEST_CASE("pipelined requests are parsed one by one")
{
    request_reader reader({});
    reader.feed(get + post + get);
    for (const std::string target : {"/a/b?c=1", "/a", "/a/b?c=1"})
    {
        const auto next = reader.next();
        REQUIRE((next && *next));
        CHECK((*next)->head_.target_ == target);
    }
    CHECK_FALSE(*reader.next());
}

TEST_CASE("the parsed request doesn't depend on how the bytes are split")
{
    rc::check(
        [](std::vector<std::uint8_t> p_sizes)
        {
            for (const auto& whole : {get, post, chunked})
            {
                request_reader reader({});
                std::size_t at = 0;
                std::size_t turn = 0;
                std::optional<request> found;
                while (at < whole.size())
                {
                    const std::size_t size =
                        p_sizes.empty()
                            ? 1
                            : 1 + p_sizes[turn++ % p_sizes.size()] % 9;
                    reader.feed(whole.substr(at, size));
                    at += size;
                    auto next = reader.next();
                    RC_ASSERT(next.has_value());
                    if (*next)
                    {
                        RC_ASSERT(!found);
                        found = std::move(*next);
                    }
                }
                RC_ASSERT(found.has_value());
                RC_ASSERT(found->body_ == (whole == get ? "" : "hello"));
            }
        });
}

TEST_CASE("input that parsers could interpret differently is refused")
{
    const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
    CHECK(status_of(start +
                    "Content-Length: 1\r\nContent-Length: 2\r\n\r\na") == 400);
    CHECK(status_of(start + "Content-Length: 1\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
          400);
    CHECK(status_of("GET / HTTP/1.1\nHost: h\n\n") == 400);
    CHECK(status_of("GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n") == 400);
    CHECK(status_of(start + "X: a\r\n b\r\n\r\n") == 400);
    CHECK(status_of(start + "X : a\r\n\r\n") == 400);
    CHECK(status_of(start + "Content-Length: +1\r\n\r\na") == 400);
    CHECK(status_of(start + "Content-Length: 1,1\r\n\r\na") == 400);
    CHECK(status_of("GET / HTTP/1.1\r\n\r\n") == 400);
    CHECK(status_of(start + "Host: g\r\n\r\n") == 400);
    CHECK(status_of(start + "Transfer-Encoding: gzip, chunked\r\n\r\n") != 0);
    CHECK(status_of(start + "Transfer-Encoding: xchunked\r\n\r\n") != 0);
    CHECK(status_of("nonsense\r\n\r\n") == 400);
    CHECK(status_of(start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n") == 400);
}

TEST_CASE("size limits are enforced and can be changed between requests")
{
    const size_limits small{64, 4};
    CHECK(status_of("GET / HTTP/1.1\r\nHost: " + std::string(100, 'h'),
                    small) == 431);
    CHECK(status_of(post, {1024, 4}) == 413);
    CHECK(status_of(chunked, {1024, 4}) == 413);
    request_reader reader({1024, 4});
    reader.set_limits({1024, 5});
    reader.feed(post);
    CHECK(reader.next().has_value());
}

TEST_CASE("limits that shrink don't refuse a request that is being received")
{
    const std::string text = post;
    for (std::size_t split = 1; split < text.size(); ++split)
    {
        CAPTURE(split);
        request_reader reader({1024, 5});
        reader.feed(text.substr(0, split));
        REQUIRE(reader.next().has_value());
        reader.set_limits({8, 1});
        reader.feed(text.substr(split));
        const auto whole = reader.next();
        REQUIRE(whole.has_value());
        CHECK(whole->has_value());
        // The next one is bound by the new limits.
        reader.feed(text);
        CHECK_FALSE(reader.next().has_value());
    }
}

TEST_CASE("Expect: 100-continue is detected until the body arrives")
{
    request_reader reader({});
    reader.feed("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                "Expect: 100-continue\r\n\r\n");
    REQUIRE(reader.next());
    CHECK(reader.awaits_continue());
    reader.feed("hello");
    const auto next = reader.next();
    REQUIRE((next && *next));
    CHECK((*next)->body_ == "hello");
}

TEST_CASE("a chunk's head and trailers without end are cut at a size")
{
    const std::string head =
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string endless(size_limits{}.header_bytes_ + 1, 'x');
    CHECK(status_of(head + "5;extension=" + endless) == 400);
    CHECK(status_of(head + "0\r\nField: " + endless) == 400);
}
