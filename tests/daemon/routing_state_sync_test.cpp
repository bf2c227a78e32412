#include "daemon/routing_state_sync.hpp"
#include "tests/fakes/loopback.hpp"
#include "tests/fakes/store_text.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

const std::string ready =
    R"({"service":"s","addr":"1.2.3.4:5","zone":"z","version":"v1","slots":4,"state":"ready"})";

std::string config(int p_version, std::size_t p_padding = 0)
{
    return R"({"version":)" + std::to_string(p_version) +
           R"(,"routes":[],"services":[],"note":")" +
           std::string(p_padding, 'x') + R"("})";
}

/// A node's routing state, without the rest of the node.
struct node
{
    explicit node(boost::asio::io_context& p_context)
        : state_({[](auto) {},
                  [this](const auto& p_servers) { servers_ = p_servers; }},
                 2s, 1200ms),
          client_(p_context),
          sync_(state_, client_, 1,
                [this](const std::string& p_address)
                { candidates_.push_back(p_address); })
    {
    }
    routing::server_list::entries servers_;
    std::vector<std::string> candidates_;
    routing_state state_;
    backend::buffered_client client_;
    routing_state_sync sync_;
};

std::string to_text(const http::response& p_response)
{
    auto headers = p_response.headers_;
    headers.push_back(
        {"Content-Length", std::to_string(p_response.body_.size())});
    return http::write_head("HTTP/1.1 200 OK", headers) + p_response.body_;
}

/// A node that gets the reports of another one.
struct fixture
{
    fixture()
        : own_(context_),
          peer_(context_),
          server_(context_,
                  [this](const http::request& p_request, auto& r_session)
                  {
                      if (is_held_(p_request))
                      {
                          return;
                      }
                      const auto response =
                          peer_.sync_.respond(p_request.head_, {});
                      sent_bytes_ += response.body_.size();
                      r_session.write(to_text(response));
                  })
    {
    }
    [[nodiscard]] peer_state report() const
    {
        peer_state report;
        report.peer_address_ = server_.address();
        report.config_version_ =
            static_cast<std::int64_t>(peer_.state_.config_version());
        report.servers_revision_ =
            static_cast<std::int64_t>(peer_.state_.servers_revision());
        report.servers_hash_ = peer_.state_.servers_hash();
        report.in_contact_ = true;
        return report;
    }
    bool run_until_true(const std::function<bool()>& p_condition,
                        bool p_follows_store = false)
    {
        return run_until(context_, p_condition,
                         [&]
                         {
                             own_.client_.tick(clock_.now());
                             own_.sync_.on_peer_state(report(),
                                                      p_follows_store);
                         });
    }
    /// Requests that get no answer.
    std::function<bool(const http::request&)> is_held_ =
        [](const http::request&) { return false; };
    boost::asio::io_context context_;
    boot_clock clock_;
    node own_;
    node peer_;
    std::size_t sent_bytes_ = 0; ///< Of bodies, by the peer.
    scripted_server server_;
};

} // namespace

TEST_CASE("a node without state fetches all of it from a peer")
{
    fixture f;
    f.peer_.state_.update_config(config(7));
    f.peer_.state_.update_servers({20, {{"i-1", ready}}, {}, true});
    REQUIRE(f.run_until_true([&] { return f.own_.state_.is_complete(); }));
    CHECK(f.own_.state_.config_version() == 7);
    CHECK(f.own_.state_.servers_revision() == 20);
    CHECK(f.own_.servers_.contains("i-1"));
}

// Guards against a removed server that came back at one node (DRAIN) and stayed
// there, as that node had the revision that all others had.
TEST_CASE("a node whose list differs takes the one of a peer that follows")
{
    fixture f;
    f.peer_.state_.update_servers({20, {{"i-1", ready}}, {}, true});
    f.own_.state_.update_servers(
        {20, {{"i-1", ready}, {"i-2", ready}}, {}, true});
    REQUIRE(f.run_until_true(
        [&] {
            return f.own_.state_.servers_hash() ==
                   f.peer_.state_.servers_hash();
        }));
    f.own_.state_.tick(f.clock_.now() + 1min);
    CHECK_FALSE(f.own_.servers_.contains("i-2"));
    CHECK_FALSE(f.own_.sync_.take_list_due());
}

TEST_CASE("two nodes that follow the store with other lists list it anew")
{
    fixture f;
    f.peer_.state_.update_servers({20, {{"i-1", ready}}, {}, true});
    f.own_.state_.update_servers({20, {{"i-2", ready}}, {}, true});
    f.own_.sync_.on_peer_state(f.report(), true);
    CHECK(f.own_.sync_.take_list_due());
    CHECK_FALSE(f.own_.sync_.take_list_due());
    CHECK(f.server_.requests_.empty());
}

// Guards against requests to a server that leaves (DRAIN) and revoked keys that
// are let in (CONFIG): the news waited for a large configuration on a slow
// link.
TEST_CASE("news of the servers doesn't wait for a configuration under way")
{
    fixture f;
    f.own_.state_.update_config(config(5));
    f.own_.state_.update_servers({10, {{"i-1", ready}}, {}, true});
    f.peer_.state_.update_config(config(7));
    f.peer_.state_.update_servers({20, {{"i-2", ready}}, {}, true});
    bool config_asked = false;
    f.is_held_ = [&](const http::request& p_request)
    {
        const bool is_config =
            p_request.head_.target_.starts_with("/beliefs/5/");
        config_asked = config_asked || is_config;
        return is_config;
    };
    f.own_.sync_.on_peer_state(f.report(), false);
    REQUIRE(f.run_until_true(
        [&] { return f.own_.state_.servers_revision() == 20; }));
    CHECK(config_asked);
    CHECK(f.own_.state_.config_version() == 5);
}

TEST_CASE("a configuration doesn't wait for the servers either")
{
    fixture f;
    f.peer_.state_.update_config(config(7));
    f.peer_.state_.update_servers({20, {{"i-2", ready}}, {}, true});
    f.is_held_ = [&](const http::request& p_request)
    { return p_request.head_.target_.ends_with("/0"); };
    REQUIRE(
        f.run_until_true([&] { return f.own_.state_.config_version() == 7; }));
    CHECK(f.own_.state_.servers_revision() == 0);
}

// A link of 10 Mbit/s takes a second for the document of 4,200 routes.
TEST_CASE("a large configuration is sent compressed")
{
    fixture f;
    const std::string document = config(7, 500'000);
    f.peer_.state_.update_config(document);
    REQUIRE(
        f.run_until_true([&] { return f.own_.state_.config_version() == 7; }));
    CHECK(f.own_.state_.config_document() == document);
    CHECK(f.sent_bytes_ < 10'000);
}

TEST_CASE("the newest configuration is sent, not an earlier response")
{
    fixture f;
    for (const int version : {7, 8})
    {
        f.peer_.state_.update_config(config(version, 5'000));
        REQUIRE(f.run_until_true(
            [&] {
                return f.own_.state_.config_version() ==
                       f.peer_.state_.config_version();
            }));
    }
    CHECK(f.own_.state_.config_document() == config(8, 5'000));
}

TEST_CASE("a node of an older build gets and gives both parts, uncompressed")
{
    fixture f;
    f.peer_.state_.update_config(config(7, 5'000));
    f.peer_.state_.update_servers({20, {{"i-1", ready}}, {}, true});
    http::request_head request;
    request.target_ = "/beliefs/0/0";
    const auto response = f.peer_.sync_.respond(request, {});
    CHECK(response.headers_.empty());
    const auto answered = decode_beliefs(response.body_);
    REQUIRE(answered);
    CHECK(answered->config == config(7, 5'000));
    CHECK(answered->servers.size() == 1);
    // Such a node answers a request for one part with the other's version.
    scripted_server older(f.context_,
                          [&](const http::request& p_request, auto& r_session)
                          {
                              request.target_ = p_request.head_.target_;
                              r_session.write(
                                  to_text(f.peer_.sync_.respond(request, {})));
                          });
    auto report = f.report();
    report.peer_address_ = older.address();
    CHECK(run_until(
        f.context_, [&] { return f.own_.state_.is_complete(); },
        [&]
        {
            f.own_.client_.tick(f.clock_.now());
            f.own_.sync_.on_peer_state(report, false);
        }));
    CHECK(f.own_.servers_.contains("i-1"));
}

TEST_CASE("a compressed response that is cut off changes nothing")
{
    fixture f;
    f.peer_.state_.update_config(config(7, 5'000));
    http::request_head request;
    request.target_ = "/beliefs/0/9223372036854775807";
    request.headers_.push_back({"Accept-Encoding", "deflate"});
    bool answered = false;
    scripted_server broken(f.context_,
                           [&](const http::request&, auto& r_session)
                           {
                               auto response =
                                   f.peer_.sync_.respond(request, {});
                               response.body_.resize(response.body_.size() / 2);
                               r_session.write(to_text(response));
                               answered = true;
                           });
    auto report = f.report();
    report.peer_address_ = broken.address();
    f.own_.sync_.on_peer_state(report, false);
    REQUIRE(
        f.run_until_true([&] { return f.own_.state_.config_version() == 7; }));
    CHECK(answered);
}
