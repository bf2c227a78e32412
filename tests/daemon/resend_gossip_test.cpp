#include "daemon/digest_conversion.hpp"
#include "daemon/entry_gossip.hpp"
#include "daemon/routing_state.hpp"
#include "ingress/router.hpp"
#include "tests/fakes/loopback.hpp"
#include "tests/fakes/store_text.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

const routing::service_name service("s");

/// The parts of a node that exchange messages with its peers.
struct budget_node
{
    budget_node(boost::asio::io_context& p_context, const std::string& p_name,
                std::uint16_t p_port)
        : router_(p_context, {}),
          state_({[](auto) {}, [](const auto&) {}}, 2s, 1s),
          client_(p_context),
          gossip_(p_context,
                  {node_id(p_name), "127.0.0.1:1", local(p_port),
                   failure_domain_id("d")},
                  state_, router_, client_, false, 1)
    {
        // With so many nodes a node's share of the slack is below one resend.
        router_.set_live_node_count(100);
    }
    void tick()
    {
        (void)gossip_.should_follow_store({}, clock_.now());
        gossip_.tick(clock_.now());
    }

    boot_clock clock_;
    ingress::router router_;
    routing_state state_;
    backend::buffered_client client_;
    entry_gossip gossip_;
};

} // namespace

// Guards against begun streams that end although a peer's part is unused.
TEST_CASE("a node without requests borrows resends from its peer")
{
    boost::asio::io_context context;
    const std::array ports{free_port(context), free_port(context)};
    budget_node lender(context, "n0", ports[0]);
    budget_node borrower(context, "n1", ports[1]);
    lender.gossip_.add_candidate(local(ports[1]));
    borrower.gossip_.add_candidate(local(ports[0]));
    for (int i = 0; i < 100; ++i)
    {
        lender.router_.resends().record_request(service, lender.clock_.now());
    }
    const auto is_allowed = [&]
    {
        return borrower.router_.resends().try_consume_for_begun(
                   service, 1, borrower.clock_.now()) ==
               dispatch::resend_decision::allowed;
    };
    CHECK_FALSE(is_allowed());
    CHECK(run_until(
        context, is_allowed,
        [&]
        {
            lender.tick();
            borrower.tick();
        },
        3s));
}

TEST_CASE("a loan of resends survives conversion to messages and back")
{
    const dispatch::resend_loan loan{"p", service, time_point(5s), 1.25};
    const auto decoded = from_wire(to_wire(loan), "q");
    CHECK(decoded.peer_ == "q");
    CHECK(decoded.service_ == service);
    CHECK(decoded.asked_at_ == loan.asked_at_);
    CHECK(decoded.resends_ == doctest::Approx(1.25));
    entry_wire::resend_loan wrong;
    wrong.thousandths = -7;
    CHECK(from_wire(wrong, "q").resends_ == 0);
}

// Guards against messages that grow on nodes without requests.
TEST_CASE("a digest of a node that lends nothing has no field for loans")
{
    entry_wire::digest digest;
    add_to_wire(std::map<routing::service_name, double>{}, digest);
    CHECK_FALSE(bool{digest.__isset.lendable_resends});
    add_to_wire(std::map<routing::service_name, double>{{service, 2.5}},
                digest);
    CHECK(lendable_resends(digest).at(service) == doctest::Approx(2.5));
}
