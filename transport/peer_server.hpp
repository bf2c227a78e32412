#pragma once

#include "transport/http_client.hpp"
#include "transport/message_authenticator.hpp"

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace peridotspar
{

/// Receives messages from other nodes over Thrift. One thread serves all
/// connections, so the handler must return quickly.
class peer_server
{
public:
    struct reply
    {
        message_kind kind_ = message_kind::reply;
        std::string payload_;
    };
    /// Returns the reply to a message. Called on the server's thread, only with
    /// messages that passed message_authenticator::accept().
    using handler = std::function<reply(const peer_message&)>;

    /// Starts serving. Throws std::runtime_error if it can't listen on the
    /// address.
    peer_server(const endpoint& p_listen,
                message_authenticator& r_authenticator, handler p_handler);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Stops serving and waits for the server's thread.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
    std::thread thread_;
};

/// Sends messages to other nodes over Thrift, on a connection that is kept open
/// to each. Not thread-safe.
class peer_client
{
public:
    explicit peer_client(message_authenticator& r_authenticator);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    /// Sends a message and returns the reply's payload; blocks until it arrives
    /// or a time limit passes. After a failure, calls to the same peer fail at
    /// once for a second.
    [[nodiscard]] tl::expected<std::string, call_error>
    call(const endpoint& p_peer, message_kind p_kind, std::string p_payload);

    /// Estimated bytes sent and received so far, without those of TCP/IP.
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
    /// Calls that got a reply so far.
    [[nodiscard]] std::uint64_t messages() const { return messages_; }

private:
    struct connection;
    message_authenticator& authenticator_;
    std::map<std::string, std::unique_ptr<connection>> connections_;
    std::uint64_t bytes_ = 0;
    std::uint64_t messages_ = 0;
};

} // namespace peridotspar
