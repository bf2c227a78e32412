#include "store/platform_client.hpp"
#include "tests/fakes/loopback.hpp"

#include <thread>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

// Guards against an end of the process: a version that is no number threw.
TEST_CASE("a version that can't be read is a failed call")
{
    boost::asio::io_context context;
    std::string version;
    scripted_server server(
        context,
        [&](const auto& p_request, auto& r_session)
        {
            const bool is_write = p_request.head_.method_ == "PUT";
            const std::string body = is_write ? R"({"version":"x"})" : "text";
            r_session.write("HTTP/1.1 200 OK\r\nX-Version: " + version +
                            "\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
        });
    const std::string address = server.address();
    std::thread thread([&] { context.run(); });
    platform_client store(
        {"127.0.0.1", static_cast<std::uint16_t>(
                          std::stoi(address.substr(address.rfind(':') + 1)))},
        node_id("n1"), 2000ms);
    for (const std::string odd : {"x", "-1", "7x", "99999999999999999999"})
    {
        version = odd;
        CAPTURE(odd);
        CHECK_FALSE(store.get("o"));
        CHECK_FALSE(store.watch("o", 1, 10ms));
    }
    version = "7";
    CHECK(store.get("o")->version_ == 7);
    CHECK(store.put("o", 7, "v") == 0U);
    context.stop();
    thread.join();
    server.sessions_.clear();
}
