#include "platform/request_headers.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

http::request_head caller_head()
{
    http::request_head head;
    head.method_ = "POST";
    head.target_ = "/r/x?y=1";
    head.headers_ = {{"Host", "h.example"},
                     {"Attempt-Id", "a1"},
                     {"Model", "m"},
                     {"Token-Counts", "1460,80"},
                     {"Prefix-Hash", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250"},
                     {"Deadline-Ms", "15000"},
                     {"Authorization", "bearer  key1 "},
                     {"Length-Hint", "33"},
                     {"Connection", "keep-alive, X-Hop"},
                     {"X-Hop", "1"},
                     {"X-Other", "kept"}};
    return head;
}

bool contains(const std::string& p_text, const std::string& p_part)
{
    return p_text.find(p_part) != std::string::npos;
}

} // namespace

TEST_CASE("the headers of a caller's request are parsed")
{
    const auto metadata = platform::parse_request(caller_head());
    REQUIRE(metadata);
    CHECK(metadata->attempt_ == "a1");
    CHECK(metadata->time_left_ == 15000ms);
    CHECK(metadata->key_ == "key1");
    CHECK(metadata->prompt_tokens_ == 1460);
    CHECK(metadata->max_output_tokens_ == 80);
    CHECK(metadata->output_hint_ == 33);
    REQUIRE(metadata->parts_.size() == 3);
    CHECK(metadata->parts_[1].id_ == 0x91bd3f06);
    CHECK(metadata->parts_[1].tokens_ == 410);
}

TEST_CASE("the error for a malformed header names it")
{
    for (const std::string name :
         {"Attempt-Id", "Deadline-Ms", "Token-Counts", "Prefix-Hash"})
    {
        auto head = caller_head();
        for (auto& header : head.headers_)
        {
            if (header.name_ == name)
            {
                header.value_ = name == "Attempt-Id" ? "" : "x:y:z";
            }
        }
        const auto metadata = platform::parse_request(head);
        REQUIRE_FALSE(metadata);
        CHECK(metadata.error().starts_with(name));
    }
}

TEST_CASE("headers that only the system may set aren't taken from callers")
{
    auto head = caller_head();
    for (const std::string name :
         {"Tenant", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch",
          "Expect-Instance", "Request-Urgency", "Expect-Version"})
    {
        head.headers_.push_back({name, "forged"});
    }
    routing::forward_metadata metadata;
    metadata.instance_ = "i-1";
    metadata.time_left_ = 1234ms;
    metadata.account_ = routing::account_name("acc");
    metadata.urgency_ = 2;
    const std::string text =
        platform::backend_request_head(head, "1.2.3.4:5", metadata, 10);
    CHECK(text.starts_with("POST /r/x?y=1 HTTP/1.1\r\n"));
    CHECK_FALSE(contains(text, "forged"));
    CHECK_FALSE(contains(text, "key1"));
    CHECK_FALSE(contains(text, "X-Hop"));
    CHECK_FALSE(contains(text, "15000"));
    CHECK(contains(text, "Deadline-Ms: 1234\r\n"));
    CHECK(contains(text, "Expect-Instance: i-1\r\n"));
    CHECK(contains(text, "Tenant: acc\r\n"));
    CHECK(contains(text, "Request-Urgency: 2\r\n"));
    CHECK(contains(text, "Attempt-Id: a1\r\n"));
    CHECK(contains(text, "X-Other: kept\r\n"));
    CHECK(contains(text, "Content-Length: 10\r\n"));
}

TEST_CASE("a resumed stream's request has one last event id")
{
    auto head = caller_head();
    head.headers_.push_back({"Last-Event-Id", "3"});
    routing::forward_metadata metadata;
    metadata.resume_after_ = "7";
    const std::string text =
        platform::backend_request_head(head, "a", metadata, 0);
    CHECK(contains(text, "Last-Event-Id: 7\r\n"));
    CHECK_FALSE(contains(text, "Last-Event-Id: 3\r\n"));
}

TEST_CASE("a request counts as not run only if the server states it")
{
    http::response_head head;
    head.status_ = 503;
    CHECK_FALSE(platform::parse_response(head).not_run_);
    head.headers_ = {{"Not-Executed", "1"}, {"Attempt-Id", "a"}};
    CHECK(platform::parse_response(head).not_run_);
    head.headers_ = {{"Response-Seal", "s"}};
    head.status_ = 421;
    CHECK(platform::parse_response(head).not_run_);
    CHECK(platform::parse_response(head).sealed_);
}

TEST_CASE("a local response has a retry time but no seal")
{
    const auto response = platform::local_response(503, "a1", "busy", 1500ms);
    CHECK(*http::find_header(response.headers_, "Retry-After") == "1.500");
    CHECK(http::find_header(response.headers_, "Response-Seal") == nullptr);
    CHECK(*http::find_header(response.headers_, "Attempt-Id") == "a1");
}
