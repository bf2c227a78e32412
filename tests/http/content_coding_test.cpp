#include "http/content_coding.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

TEST_CASE("a compressed body is restored, and a repetitive one is small")
{
    const std::string body(500'000, 'x');
    const std::string bytes = http::deflate(body);
    CHECK(bytes.size() < body.size() / 100);
    CHECK(http::inflate(bytes, body.size()) == body);
    CHECK(http::inflate(http::deflate(""), 0) == std::string());
}

TEST_CASE("bytes that are cut off, invalid or too many give an error")
{
    const std::string bytes = http::deflate(std::string(500'000, 'x'));
    CHECK_FALSE(http::inflate(bytes, 499'999));
    CHECK_FALSE(http::inflate(bytes.substr(0, bytes.size() - 1), 500'000));
    CHECK_FALSE(http::inflate("no zlib stream", 500'000));
    CHECK_FALSE(http::inflate("", 500'000));
}

TEST_CASE("the coding is used only where the caller names it")
{
    CHECK(http::accepts_deflate("deflate"));
    CHECK(http::accepts_deflate("gzip;q=1.0, Deflate;q=0.5"));
    CHECK_FALSE(http::accepts_deflate("gzip, br"));
    CHECK_FALSE(http::accepts_deflate("x-deflate"));
    CHECK_FALSE(http::accepts_deflate(""));
}
