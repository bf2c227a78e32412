#include "observe/request_story.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

log_line line(const std::string& p_text)
{
    return log_line::read("0.1 node time=t level=INFO " + p_text).value();
}

const std::string sent = "event=request.sent request=a server=i-1 "
                         "waited_ms=40.5 expected_ms=120.0 send=1";

} // namespace

TEST_CASE("a line's values are read by key, quoted or not")
{
    const auto read = line("event=e reason=\"the server failed\" n=1.5 x=");
    CHECK(read.value("reason") == "the server failed");
    CHECK(read.number("n") == 1.5);
    CHECK(read.value("x").empty());
    CHECK(read.value("absent").empty());
    CHECK(read.is("e"));
    CHECK_FALSE(log_line::read("no line of a log"));
}

TEST_CASE("each way to fail or be late has its cause")
{
    const std::string answered =
        "event=request.answered request=a server=i-1 pause_target_ms=200 "
        "target_ms=500 ";
    const auto on_time =
        judge({line(sent), line(answered + "status=200 first_ms=300 "
                                           "longest_pause_ms=100")});
    CHECK(on_time.fate_ == request_fate::on_time);
    CHECK(on_time.cause_.empty());
    const auto late =
        judge({line(sent), line(answered + "status=200 first_ms=900 "
                                           "longest_pause_ms=350")});
    CHECK(late.fate_ == request_fate::late);
    CHECK(late.cause_ ==
          "the first part came after 900 ms, due in 500 ms; a pause of 350 ms "
          "at i-1, bound 200 ms; sent to i-1 after 40 ms in line, expected "
          "there in 120 ms");
    CHECK(
        judge({line(sent), line(answered + "status=500 first_ms=1")}).cause_ ==
        "server i-1 answered 500");
    CHECK(judge({line("event=request.refused request=a reason=\"too late\" "
                      "come_back_ms=300")})
              .cause_ == "refused: too late, come back in 300 ms");
    const auto cut = judge(
        {line(sent), line("event=call.failed request=a server=i-1 after_ms=70"),
         line("event=request.given_up request=a reason=\"it broke\"")});
    CHECK(cut.fate_ == request_fate::failed);
    CHECK(cut.cause_.find("given up: it broke") == 0);
    CHECK(cut.cause_.find("the call to i-1 broke after 70 ms") !=
          std::string::npos);
    CHECK(judge({line("event=request.abandoned request=a after_ms=2000")})
              .cause_ == "the caller left after 2000 ms in line");
    CHECK(judge({line(sent), line("event=request.abandoned request=a "
                                  "after_ms=2000 first_part=1 silent_ms=700")})
              .cause_.find("in mid-stream, silent for 700 ms") !=
          std::string::npos);
    CHECK(judge({line(sent)}).fate_ == request_fate::unknown);
}

TEST_CASE("lines are told apart by request")
{
    const auto found = lines_by_request(
        {line("event=x request=a"), line("event=y"), line("event=z request=b"),
         line("event=w request=a")});
    CHECK(found.size() == 2);
    CHECK(found.at("a").size() == 2);
}

TEST_CASE("a request that is open when its node starts anew ended with it")
{
    const auto at = [](const std::string& p_node, const std::string& p_text)
    { return log_line::read("0.1 " + p_node + " time=t " + p_text).value(); };
    CHECK(at("n1", "event=x").node() == "n1");
    CHECK(log_line::read("time=t event=x")->node().empty());
    CHECK(log_line::read("time=t event=x", "a.log")->node() == "a.log");
    const auto found = lines_by_request(
        {at("n1", sent), at("n2", "event=request.sent request=b"),
         at("n1", "event=node.started node=n1"),
         at("n2", "event=request.answered request=b status=200")});
    CHECK(judge(found.at("a")).fate_ == request_fate::failed);
    CHECK(judge(found.at("a")).cause_ ==
          "its node ended while it was open, and started again at t");
    CHECK(judge(found.at("b")).fate_ == request_fate::on_time);
}
