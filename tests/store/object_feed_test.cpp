#include "store/object_feed.hpp"
#include "tests/fakes/loopback.hpp"

#include <deque>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

std::string answer(int p_status, const std::string& p_body)
{
    return "HTTP/1.1 " + std::to_string(p_status) +
           " X\r\nContent-Length: " + std::to_string(p_body.size()) +
           "\r\n\r\n" + p_body;
}

std::string item(const std::string& p_name)
{
    return R"({"metadata":{"name":")" + p_name + R"("},"spec":{}})";
}

struct recorder : object_feed::listener
{
    void on_list(const std::string&, const object_page& p_all) override
    {
        lists_.push_back(p_all);
    }
    void on_changes(const std::string&,
                    const object_changes& p_changes) override
    {
        changes_.push_back(p_changes);
    }
    void on_contact(const std::string&, bool p_reached) override
    {
        contacts_.push_back(p_reached);
    }
    std::vector<object_page> lists_;
    std::vector<object_changes> changes_;
    std::vector<bool> contacts_;
};

/// A store that gives the scripted answers in turn, then is silent.
struct rig
{
    explicit rig(std::deque<std::string> p_answers)
        : answers_(std::move(p_answers)),
          server_(context_,
                  [this](const http::request& p_request, auto& r_session)
                  {
                      targets_.push_back(p_request.head_.target_);
                      if (answers_.empty())
                      {
                          return;
                      }
                      const std::string next = answers_.front();
                      answers_.pop_front();
                      if (next.empty())
                      {
                          r_session.close(true);
                          return;
                      }
                      r_session.write(next);
                  }),
          calls_(context_),
          feed_(calls_, server_.address(), "servers", listener_, 1)
    {
    }
    bool until(const std::function<bool()>& p_holds)
    {
        return run_until(context_, p_holds,
                         [this]
                         {
                             const auto now = clock_.now();
                             feed_.tick(now);
                             calls_.tick(now);
                         });
    }
    boost::asio::io_context context_;
    boot_clock clock_;
    std::deque<std::string> answers_;
    std::vector<std::string> targets_;
    scripted_server server_;
    recorder listener_;
    backend::buffered_client calls_;
    object_feed feed_;
};

} // namespace

TEST_CASE("all pages are listed, and watched from the first one's revision")
{
    rig r(
        {answer(200, R"({"items":[)" + item("a") + R"(],"more":true,"at":5})"),
         answer(200, R"({"items":[)" + item("b") + R"(],"more":false,"at":9})"),
         answer(200, R"({"events":[{"removed":true,"object":)" + item("a") +
                         R"(}],"at":12})")});
    REQUIRE(r.until([&] { return r.targets_.size() == 4; }));
    REQUIRE(r.listener_.lists_.size() == 1);
    CHECK(r.listener_.lists_[0].objects_.size() == 2);
    CHECK(r.targets_[1].find("after=a") != std::string::npos);
    CHECK(r.targets_[2].find("watch=5&") != std::string::npos);
    CHECK(r.targets_[3].find("watch=12&") != std::string::npos);
    REQUIRE(r.listener_.changes_.size() == 1);
    CHECK(r.listener_.changes_[0].changes_[0].removed_);
}

TEST_CASE("history that is gone is listed anew, at once")
{
    rig r({answer(200, R"({"items":[],"at":5})"), answer(410, "{}"),
           answer(200, R"({"items":[)" + item("c") + R"(],"at":50})")});
    REQUIRE(r.until([&] { return r.targets_.size() == 4; }));
    CHECK(r.listener_.lists_.size() == 2);
    CHECK(r.targets_[3].find("watch=50&") != std::string::npos);
    CHECK(r.listener_.contacts_.empty());
}

TEST_CASE("refusals, resets and nonsense only delay the feed")
{
    rig r({answer(503, "{}"), "", answer(429, "{}"), answer(200, "nonsense"),
           answer(200, R"({"items":[],"at":5})"), "", answer(503, "")});
    REQUIRE(r.until([&] { return r.targets_.size() == 8; }));
    CHECK(r.listener_.lists_.size() == 1);
    // A watch goes on from where it was.
    CHECK(r.targets_[7].find("watch=5&") != std::string::npos);
    CHECK(r.listener_.contacts_ == std::vector<bool>{false, true, false});
}

TEST_CASE("a list that breaks off midway isn't taken for the whole")
{
    rig r(
        {answer(200, R"({"items":[)" + item("a") + R"(],"more":true,"at":5})"),
         "", answer(200, R"({"items":[)" + item("a") + R"(],"at":7})")});
    REQUIRE(r.until([&] { return r.targets_.size() == 4; }));
    REQUIRE(r.listener_.lists_.size() == 1);
    CHECK(r.listener_.lists_[0].objects_.size() == 1);
    CHECK(r.targets_[2].find("after=") == std::string::npos);
}

TEST_CASE("a burst of changes is taken by few calls")
{
    // The store answers each watch at once, as long as changes come.
    std::deque<std::string> answers{answer(200, R"({"items":[],"at":1})")};
    for (int i = 0; i < 100; ++i)
    {
        answers.push_back(answer(200, R"({"events":[{"object":)" + item("a") +
                                          R"(}],"at":)" + std::to_string(i) +
                                          "}"));
    }
    rig r(answers);
    const auto start = r.clock_.now();
    REQUIRE(r.until(
        [&]
        { return r.clock_.now() - start > std::chrono::milliseconds(700); }));
    CHECK(r.targets_.size() <= 7);
    CHECK(r.targets_.size() >= 4);
}
