#pragma once

#include "http/request_reader.hpp"

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio.hpp>

namespace peridotspar
{

/// Runs an io_context until `p_condition` holds, calling `p_tick` about every
/// 2 ms; false if it times out.
inline bool run_until(
    boost::asio::io_context& p_context,
    const std::function<bool()>& p_condition,
    const std::function<void()>& p_tick = [] {},
    std::chrono::milliseconds p_timeout = std::chrono::milliseconds(3000))
{
    const auto end = std::chrono::steady_clock::now() + p_timeout;
    while (!p_condition())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return false;
        }
        p_context.restart();
        p_context.run_for(std::chrono::milliseconds(2));
        p_tick();
    }
    return true;
}

/// A free loopback port. It lies below the ephemeral range of the system, so no
/// outgoing connection takes it before the test binds it.
inline std::uint16_t free_port(boost::asio::io_context& p_context)
{
    constexpr std::uint16_t lowest = 10000;
    constexpr std::uint16_t ports = 20000;
    // Each process starts at a random offset, so that parallel test runs don't
    // get the same port, and returns no port twice.
    static unsigned next = std::random_device{}();
    for (;;)
    {
        const auto port = static_cast<std::uint16_t>(lowest + next++ % ports);
        boost::asio::ip::tcp::acceptor probe(p_context);
        boost::system::error_code error;
        probe.open(boost::asio::ip::tcp::v4());
        probe.bind({boost::asio::ip::address_v4::loopback(), port}, error);
        if (!error)
        {
            return port;
        }
    }
}

/// A loopback server that passes each request to a script. Stands in for
/// engines, plain services and the store.
class scripted_server
{
public:
    /// One connection, which the script writes to and may close.
    class session : public std::enable_shared_from_this<session>
    {
    public:
        session(boost::asio::ip::tcp::socket p_socket, scripted_server& p_owner)
            : socket_(std::move(p_socket)), owner_(p_owner), reader_({})
        {
        }
        [[nodiscard]] scripted_server& owner() { return owner_; }
        void write(const std::string& p_bytes)
        {
            boost::system::error_code ignored;
            boost::asio::write(socket_, boost::asio::buffer(p_bytes), ignored);
        }
        /// Closes the connection, with a TCP reset if `p_reset`.
        void close(bool p_reset = false)
        {
            boost::system::error_code ignored;
            if (p_reset)
            {
                socket_.set_option(boost::asio::socket_base::linger(true, 0),
                                   ignored);
            }
            socket_.close(ignored);
        }
        void read()
        {
            socket_.async_read_some(
                boost::asio::buffer(bytes_),
                [self = shared_from_this()](const auto& p_error,
                                            std::size_t p_count)
                {
                    if (p_error)
                    {
                        self->closed_ = true;
                        ++self->owner_.peer_disconnects_;
                        return;
                    }
                    self->reader_.feed({self->bytes_.data(), p_count});
                    for (auto next = self->reader_.next(); next && *next;
                         next = self->reader_.next())
                    {
                        self->owner_.requests_.push_back(**next);
                        self->owner_.script_(**next, *self);
                    }
                    self->read();
                });
        }
        bool closed_ = false;

    private:
        boost::asio::ip::tcp::socket socket_;
        scripted_server& owner_;
        http::request_reader reader_;
        std::array<char, 4096> bytes_{};
    };
    using script = std::function<void(const http::request&, session&)>;

    scripted_server(boost::asio::io_context& p_context, script p_script)
        : script_(std::move(p_script)),
          acceptor_(p_context, {boost::asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    /// Refuses connections from now on.
    void stop_listening() { acceptor_.close(); }
    /// Resets all connections and refuses new ones for a time.
    void crash(std::chrono::milliseconds p_down_time)
    {
        const auto endpoint = acceptor_.local_endpoint();
        for (const auto& each : sessions_)
        {
            each->close(true);
        }
        acceptor_.close();
        const auto timer = std::make_shared<boost::asio::steady_timer>(
            acceptor_.get_executor(), p_down_time);
        timer->async_wait(
            [this, timer, endpoint](const auto& p_error)
            {
                if (!p_error)
                {
                    acceptor_.open(endpoint.protocol());
                    acceptor_.set_option(
                        boost::asio::socket_base::reuse_address(true));
                    acceptor_.bind(endpoint);
                    acceptor_.listen();
                    accept();
                }
            });
    }

    script script_;
    std::vector<http::request> requests_;
    std::vector<std::shared_ptr<session>> sessions_;
    int peer_disconnects_ = 0; ///< Connections closed or reset by the client.

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](const auto& p_error, boost::asio::ip::tcp::socket p_socket)
            {
                if (p_error)
                {
                    return;
                }
                sessions_.push_back(
                    std::make_shared<session>(std::move(p_socket), *this));
                sessions_.back()->read();
                accept();
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
};

/// A loopback client that stores everything it receives.
class test_caller
{
public:
    test_caller(boost::asio::io_context& p_context, std::uint16_t p_port)
        : socket_(p_context)
    {
        socket_.connect({boost::asio::ip::address_v4::loopback(), p_port});
        read();
    }
    void send(const std::string& p_bytes)
    {
        boost::asio::write(socket_, boost::asio::buffer(p_bytes));
    }
    void close() { socket_.close(); }

    std::string received_;
    bool ended_ = false;

private:
    void read()
    {
        socket_.async_read_some(boost::asio::buffer(bytes_),
                                [this](const auto& p_error, std::size_t p_count)
                                {
                                    if (p_error ==
                                        boost::asio::error::operation_aborted)
                                    {
                                        return;
                                    }
                                    if (p_error)
                                    {
                                        ended_ = true;
                                        return;
                                    }
                                    received_.append(bytes_.data(), p_count);
                                    read();
                                });
    }

    boost::asio::ip::tcp::socket socket_;
    std::array<char, 4096> bytes_{};
};

} // namespace peridotspar
