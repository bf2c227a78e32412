#include "observe/request_diagnosis.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

log_line make_line(const std::string& p_text)
{
    return log_line::parse("0.1 node time=t level=INFO " + p_text).value();
}

const std::string sent = "event=request.sent request=a server=i-1 "
                         "waited_ms=40.5 expected_ms=120.0 send=1";

} // namespace

TEST_CASE("log_line parses quoted and unquoted values by key")
{
    const auto parsed =
        make_line("event=e reason=\"the server failed\" n=1.5 x=");
    CHECK(parsed.value("reason") == "the server failed");
    CHECK(parsed.number("n") == 1.5);
    CHECK(parsed.value("x").empty());
    CHECK(parsed.value("absent").empty());
    CHECK(parsed.has_event("e"));
    CHECK_FALSE(log_line::parse("no line of a log"));
}

TEST_CASE("every kind of failure or delay gets its own cause")
{
    const std::string answered =
        "event=request.answered request=a server=i-1 pause_target_ms=200 "
        "target_ms=500 ";
    const auto on_time = diagnose_request(
        {make_line(sent), make_line(answered + "status=200 first_ms=300 "
                                               "longest_pause_ms=100")});
    CHECK(on_time.status_ == request_status::on_time);
    CHECK(on_time.cause_.empty());
    const auto late = diagnose_request(
        {make_line(sent), make_line(answered + "status=200 first_ms=900 "
                                               "longest_pause_ms=350")});
    CHECK(late.status_ == request_status::late);
    CHECK(late.cause_ ==
          "the first part arrived after 900 ms, target 500 ms; a pause of 350 "
          "ms at i-1, bound 200 ms; sent to i-1 after 40 ms in the queue, "
          "response expected in 120 ms");
    CHECK(diagnose_request(
              {make_line(sent), make_line(answered + "status=500 first_ms=1")})
              .cause_ == "server i-1 answered 500");
    CHECK(diagnose_request(
              {make_line("event=request.refused request=a reason=\"too late\" "
                         "come_back_ms=300")})
              .cause_ == "refused: too late, retry after 300 ms");
    const auto failed_call = diagnose_request(
        {make_line(sent),
         make_line("event=call.failed request=a server=i-1 after_ms=70"),
         make_line("event=request.given_up request=a reason=\"it broke\"")});
    CHECK(failed_call.status_ == request_status::failed);
    CHECK(failed_call.cause_.find("given up: it broke") == 0);
    CHECK(failed_call.cause_.find("the call to i-1 failed after 70 ms") !=
          std::string::npos);
    CHECK(diagnose_request(
              {make_line("event=request.abandoned request=a after_ms=2000")})
              .cause_ == "the caller disconnected after 2000 ms in the queue");
    CHECK(diagnose_request(
              {make_line(sent),
               make_line("event=request.abandoned request=a "
                         "after_ms=2000 first_part=1 silent_ms=700")})
              .cause_.find("in mid-response, server silent for 700 ms") !=
          std::string::npos);
    CHECK(diagnose_request({make_line(sent)}).status_ ==
          request_status::unknown);
}

TEST_CASE("group_by_request separates lines by request id")
{
    const auto requests = group_by_request(
        {make_line("event=x request=a"), make_line("event=y"),
         make_line("event=z request=b"), make_line("event=w request=a")});
    CHECK(requests.size() == 2);
    CHECK(requests.at("a").size() == 2);
}

TEST_CASE("a request in progress when its node restarts counts as failed")
{
    const auto make_node_line =
        [](const std::string& p_node, const std::string& p_text)
    { return log_line::parse("0.1 " + p_node + " time=t " + p_text).value(); };
    CHECK(make_node_line("n1", "event=x").node() == "n1");
    CHECK(log_line::parse("time=t event=x")->node().empty());
    CHECK(log_line::parse("time=t event=x", "a.log")->node() == "a.log");
    const auto requests = group_by_request(
        {make_node_line("n1", sent),
         make_node_line("n2", "event=request.sent request=b"),
         make_node_line("n1", "event=node.started node=n1"),
         make_node_line("n2", "event=request.answered request=b status=200")});
    CHECK(diagnose_request(requests.at("a")).status_ == request_status::failed);
    CHECK(diagnose_request(requests.at("a")).cause_ ==
          "its node stopped while the request was in progress, and restarted "
          "at t");
    CHECK(diagnose_request(requests.at("b")).status_ ==
          request_status::on_time);
}
