#include "transport/peer_server.hpp"

#include "core/log.hpp"
#include "transport/gen/peer.h"

#include <chrono>
#include <future>
#include <stdexcept>

#include <thrift/TOutput.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/server/TNonblockingServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TNonblockingServerSocket.h>
#include <thrift/transport/TSocket.h>

namespace peridotspar
{

namespace
{

namespace thrift = apache::thrift;

constexpr int connect_timeout_ms = 300;
constexpr int reply_timeout_ms = 500;
/// After a failure, calls to the peer fail at once for this long.
constexpr std::chrono::milliseconds reconnect_delay{1000};
constexpr std::size_t max_frame_bytes = 4U << 20U;
/// Estimated bytes of a message besides its payload, for traffic counts.
constexpr std::uint64_t frame_overhead_bytes = 80;

wire::sealed to_wire(const peer_message& p_message)
{
    wire::sealed sealed;
    sealed.sender = p_message.sender_.value();
    sealed.kind = static_cast<std::int32_t>(p_message.kind_);
    sealed.sequence = p_message.sequence_;
    sealed.unix_ms = p_message.unix_ms_;
    sealed.payload = p_message.payload_;
    sealed.code = p_message.mac_;
    return sealed;
}

peer_message from_wire(const wire::sealed& p_sealed)
{
    return {node_id(p_sealed.sender), static_cast<message_kind>(p_sealed.kind),
            p_sealed.sequence,        p_sealed.unix_ms,
            p_sealed.payload,         p_sealed.code};
}

class peer_handler : public wire::peerIf
{
public:
    peer_handler(message_authenticator& r_authenticator,
                 peer_server::handler p_handler)
        : authenticator_(r_authenticator), handler_(std::move(p_handler))
    {
    }

    void call(wire::sealed& r_reply, const wire::sealed& p_message) override
    {
        const peer_message message = from_wire(p_message);
        if (!authenticator_.accept(message))
        {
            log_event(log_level::warning, "peer.refused")
                .with("sender", message.sender_.value());
            r_reply = to_wire(authenticator_.sign(message_kind::refused, {}));
            return;
        }
        auto reply = handler_(message);
        r_reply = to_wire(
            authenticator_.sign(reply.kind_, std::move(reply.payload_)));
    }

private:
    message_authenticator& authenticator_;
    peer_server::handler handler_;
};

} // namespace

struct peer_server::impl
{
    /// Listens, reports the result through `p_listening` and serves until it is
    /// stopped.
    void run(std::promise<void> p_listening);

    std::shared_ptr<thrift::transport::TNonblockingServerSocket> socket_;
    std::unique_ptr<thrift::server::TNonblockingServer> server_;
};

void peer_server::impl::run(std::promise<void> p_listening)
{
    try
    {
        // The server takes the thread that calls this for the one that serves.
        server_->registerEvents(nullptr);
    }
    catch (const std::exception&)
    {
        p_listening.set_exception(std::current_exception());
        return;
    }
    p_listening.set_value();
    try
    {
        server_->serve();
    }
    catch (const std::exception& error)
    {
        log_event(log_level::error, "peer.server_failed")
            .with("port", socket_->getPort())
            .with("error", error.what());
    }
}

peer_server::peer_server(const endpoint& p_listen,
                         message_authenticator& r_authenticator,
                         handler p_handler)
    : impl_(std::make_unique<impl>())
{
    thrift::GlobalOutput.setOutputFunction([](const char*) {});
    impl_->socket_ =
        std::make_shared<thrift::transport::TNonblockingServerSocket>(
            p_listen.address_, p_listen.port_);
    impl_->server_ = std::make_unique<thrift::server::TNonblockingServer>(
        std::make_shared<wire::peerProcessor>(std::make_shared<peer_handler>(
            r_authenticator, std::move(p_handler))),
        std::make_shared<thrift::protocol::TBinaryProtocolFactory>(),
        impl_->socket_);
    impl_->server_->setMaxFrameSize(max_frame_bytes);
    std::promise<void> started;
    auto listening = started.get_future();
    thread_ = std::thread([this, result = std::move(started)]() mutable
                          { impl_->run(std::move(result)); });
    try
    {
        listening.get();
    }
    catch (const std::exception& error)
    {
        thread_.join();
        throw std::runtime_error("cannot listen on " + p_listen.address_ + ":" +
                                 std::to_string(p_listen.port_) + ": " +
                                 error.what());
    }
}

peer_server::~peer_server()
{
    stop();
}

void peer_server::stop()
{
    if (thread_.joinable())
    {
        impl_->server_->stop();
        thread_.join();
    }
}

struct peer_client::connection
{
    explicit connection(const endpoint& p_peer)
        : socket_(std::make_shared<thrift::transport::TSocket>(p_peer.address_,
                                                               p_peer.port_)),
          transport_(
              std::make_shared<thrift::transport::TFramedTransport>(socket_)),
          client_(
              std::make_shared<thrift::protocol::TBinaryProtocol>(transport_))
    {
        socket_->setConnTimeout(connect_timeout_ms);
        socket_->setSendTimeout(reply_timeout_ms);
        socket_->setRecvTimeout(reply_timeout_ms);
    }

    std::shared_ptr<thrift::transport::TSocket> socket_;
    std::shared_ptr<thrift::transport::TFramedTransport> transport_;
    wire::peerClient client_;
    std::chrono::steady_clock::time_point retry_at_{};
};

peer_client::peer_client(message_authenticator& r_authenticator)
    : authenticator_(r_authenticator)
{
    thrift::GlobalOutput.setOutputFunction([](const char*) {});
}

peer_client::~peer_client() = default;

tl::expected<std::string, call_error> peer_client::call(const endpoint& p_peer,
                                                        message_kind p_kind,
                                                        std::string p_payload)
{
    auto& peer_connection =
        connections_[p_peer.address_ + ":" + std::to_string(p_peer.port_)];
    if (!peer_connection)
    {
        peer_connection = std::make_unique<connection>(p_peer);
    }
    const auto now = std::chrono::steady_clock::now();
    if (now < peer_connection->retry_at_)
    {
        return tl::unexpected(call_error{
            verdict::not_run,
            "the last call to the peer failed less than a second ago"});
    }
    bool sent = false;
    try
    {
        if (!peer_connection->transport_->isOpen())
        {
            peer_connection->transport_->open();
        }
        sent = true;
        const auto message =
            to_wire(authenticator_.sign(p_kind, std::move(p_payload)));
        wire::sealed reply;
        peer_connection->client_.call(reply, message);
        ++messages_;
        bytes_ += message.payload.size() + reply.payload.size() +
                  2 * frame_overhead_bytes;
        const peer_message answer = from_wire(reply);
        if (authenticator_.verify(answer) &&
            answer.kind_ != message_kind::refused)
        {
            return answer.payload_;
        }
        return tl::unexpected(call_error{
            verdict::not_run,
            "the peer rejected the message or its reply is not authentic"});
    }
    catch (const std::exception& error)
    {
        peer_connection->transport_->close();
        peer_connection->retry_at_ = now + reconnect_delay;
        return tl::unexpected(call_error{
            sent ? verdict::may_have_run : verdict::not_run, error.what()});
    }
}

} // namespace peridotspar
