#include "tests/fakes/loopback.hpp"
#include "transport/http_server.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

TEST_CASE("a stream that is broken off has no final chunk and is closed")
{
    boost::asio::io_context context;
    const std::uint16_t port = free_port(context);
    http_server_options options;
    options.port_ = port;
    http_server server(options,
                       [](http_exchange& r_exchange)
                       {
                           r_exchange.begin_stream(200, "text/event-stream");
                           r_exchange.write_stream("data: x\n\n");
                           if (r_exchange.path() == "/broken")
                           {
                               r_exchange.break_off_stream();
                               return;
                           }
                           r_exchange.end_stream();
                       });
    for (const std::string path : {"/whole", "/broken"})
    {
        test_caller caller(context, port);
        caller.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
        const auto has_final_chunk = [&]
        { return caller.received_.find("\r\n0\r\n\r\n") != std::string::npos; };
        REQUIRE(run_until(context,
                          [&] { return caller.ended_ || has_final_chunk(); }));
        CHECK(caller.received_.find("data: x") != std::string::npos);
        CHECK(has_final_chunk() == (path == "/whole"));
    }
}
