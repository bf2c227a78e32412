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

/// A node that gets the reports of another one.
struct fixture
{
    fixture()
        : own_(context_),
          peer_(context_),
          server_(context_,
                  [this](const http::request& p_request, auto& r_session)
                  {
                      const auto response =
                          peer_.sync_.respond(p_request.head_.target_, {});
                      r_session.write(json_response(response.body_));
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
    boost::asio::io_context context_;
    boot_clock clock_;
    node own_;
    node peer_;
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
