#include "daemon/node_discovery.hpp"
#include "tests/fakes/loopback.hpp"
#include "tests/fakes/store_text.hpp"

#include <deque>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

std::string node(const std::string& p_peer)
{
    return R"({"metadata":{"name":")" + p_peer + R"("},"spec":{"peer":")" +
           p_peer + R"("}})";
}

std::string page(const std::string& p_items, bool p_has_more)
{
    return json_response(R"({"items":[)" + p_items + R"(],"more":)" +
                         (p_has_more ? "true" : "false") + R"(,"at":5})");
}

struct fixture
{
    explicit fixture(std::deque<std::string> p_responses)
        : responses_(std::move(p_responses)),
          server_(context_,
                  [this](const http::request& p_request, auto& r_session)
                  {
                      targets_.push_back(p_request.head_.target_);
                      if (!responses_.empty())
                      {
                          r_session.write(responses_.front());
                          responses_.pop_front();
                      }
                  }),
          client_(context_),
          discovery_(client_, server_.address(),
                     [this](const std::string& p_peer)
                     { peers_.push_back(p_peer); })
    {
    }
    bool run_until_true(const std::function<bool()>& p_condition)
    {
        return run_until(context_, p_condition,
                         [this] { client_.tick(clock_.now()); });
    }
    boost::asio::io_context context_;
    boot_clock clock_;
    std::deque<std::string> responses_;
    std::vector<std::string> targets_;
    std::vector<std::string> peers_;
    scripted_server server_;
    backend::buffered_client client_;
    node_discovery discovery_;
};

} // namespace

// Guards against nodes that don't find each other after a restart of all, as
// other writers' objects fill the first page (RECOVER).
TEST_CASE("nodes on all pages are found, beside objects of other writers")
{
    const std::string odd = R"({"metadata":{"name":"a&1"},"spec":{"peer":7}})";
    const std::string broken =
        R"({"metadata":{"name":"b&1"},"spec":{"text":"a"b"}})";
    fixture f({page(odd, true), page(broken + "," + node("10.0.0.1:1"), false),
               page(node("10.0.0.1:1"), true),
               page(node("10.0.0.2:1"), false)});
    f.discovery_.start();
    f.discovery_.start();
    REQUIRE(f.run_until_true([&] { return f.peers_.size() == 2; }));
    CHECK(f.peers_ == std::vector<std::string>{"10.0.0.1:1", "10.0.0.2:1"});
    REQUIRE(f.targets_.size() == 4);
    CHECK(contains(f.targets_[1], "after=a%261"));
    CHECK(contains(f.targets_[2], "after=b%261"));
    CHECK(contains(f.targets_[3], "after=10.0.0.1"));
}

TEST_CASE("a list that doesn't end or fails doesn't stop the next one")
{
    std::deque<std::string> responses;
    for (int i = 10; i < 40; ++i)
    {
        responses.push_back(page(node("n" + std::to_string(i)), true));
    }
    fixture f(responses);
    f.discovery_.start();
    REQUIRE(f.run_until_true([&] { return f.peers_.size() == 16; }));
    f.responses_ = {json_response("nonsense"), page(node("last"), false)};
    f.discovery_.start();
    REQUIRE(f.run_until_true([&] { return f.targets_.size() == 17; }));
    CHECK(f.run_until_true(
        [&]
        {
            f.discovery_.start();
            return f.peers_.back() == "last";
        }));
}
