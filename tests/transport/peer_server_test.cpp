#include "tests/fakes/loopback.hpp"
#include "transport/peer_server.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

const std::string secret = "a-secret-of-the-nodes";

peer_server::reply echo(const peer_message& p_message)
{
    return {message_kind::reply, p_message.payload_};
}

} // namespace

TEST_CASE("a peer server that can't listen fails with its address")
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor other(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    const std::uint16_t port = other.local_endpoint().port();
    message_authenticator authenticator(node_id("n1"), secret);
    std::string message;
    try
    {
        peer_server server({"127.0.0.1", port}, authenticator, echo);
    }
    catch (const std::runtime_error& error)
    {
        message = error.what();
    }
    CHECK(message.starts_with("cannot listen on 127.0.0.1:" +
                              std::to_string(port)));
}

TEST_CASE("a peer server serves calls until it is stopped")
{
    boost::asio::io_context context;
    const endpoint address{"127.0.0.1", free_port(context)};
    message_authenticator receiver(node_id("n1"), secret);
    message_authenticator sender(node_id("n2"), secret);
    peer_client client(sender);
    peer_server server(address, receiver, echo);
    const auto reply = client.call(address, message_kind::gossip, "payload");
    REQUIRE(reply);
    CHECK(*reply == "payload");
    server.stop();
    CHECK_FALSE(client.call(address, message_kind::gossip, "payload"));
}
