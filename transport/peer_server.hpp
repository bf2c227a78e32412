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
/// connections, so the handler must not block.
class peer_server
{
public:
    struct reply
    {
        message_kind kind_ = message_kind::reply;
        std::string payload_;
    };
    /// Called only with messages whose authentication held.
    using handler = std::function<reply(const peer_message&)>;

    /// Throws std::runtime_error if the port can't be had.
    peer_server(const endpoint& p_listen,
                message_authenticator& r_authenticator, handler p_handler);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
    std::thread thread_;
};

/// Calls other nodes, with a connection kept to each. For one thread.
class peer_client
{
public:
    explicit peer_client(message_authenticator& r_authenticator);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    /// Sends a message and returns the reply's payload. After a failure the
    /// peer is left alone for a while, and calls to it fail at once.
    [[nodiscard]] tl::expected<std::string, call_error>
    call(const endpoint& p_peer, message_kind p_kind, std::string p_payload);

    /// Bytes sent and received so far, without TCP's own.
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
    [[nodiscard]] std::uint64_t messages() const { return messages_; }

private:
    struct connection;
    message_authenticator& authenticator_;
    std::map<std::string, std::unique_ptr<connection>> connections_;
    std::uint64_t bytes_ = 0;
    std::uint64_t messages_ = 0;
};

} // namespace peridotspar
