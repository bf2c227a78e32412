#pragma once

#include "tests/fakes/loopback.hpp"

#include <string>
#include <vector>

namespace peridotspar
{

/// A server that answers as soon as a request's first bytes are there.
class early_server
{
public:
    enum class end
    {
        shutdown, ///< Sends no more, and doesn't read yet.
        reset,
    };
    early_server(boost::asio::io_context& p_context, std::string p_answer,
                 end p_end)
        : answer_(std::move(p_answer)),
          end_(p_end),
          acceptor_(p_context, {boost::asio::ip::address_v4::loopback(), 0}),
          socket_(p_context)
    {
        acceptor_.async_accept(socket_,
                               [this](const auto&)
                               {
                                   socket_.async_read_some(
                                       boost::asio::buffer(bytes_),
                                       [this](const auto&, std::size_t)
                                       { answer(); });
                               });
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    void reset()
    {
        socket_.set_option(boost::asio::socket_base::linger(true, 0));
        socket_.close();
    }
    /// Reads and discards the rest of the request.
    void read_on()
    {
        socket_.async_read_some(boost::asio::buffer(bytes_),
                                [this](const auto& p_error, std::size_t)
                                {
                                    if (!p_error)
                                    {
                                        read_on();
                                    }
                                });
    }

    bool answered_ = false;

private:
    void answer()
    {
        boost::asio::write(socket_, boost::asio::buffer(answer_));
        answered_ = true;
        if (end_ == end::reset)
        {
            reset();
            return;
        }
        socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    }

    std::string answer_;
    end end_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::socket socket_;
    std::vector<char> bytes_ = std::vector<char>(65536);
};

} // namespace peridotspar
