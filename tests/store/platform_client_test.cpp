#include "store/platform_client.hpp"
#include "tests/fakes/loopback.hpp"
#include "tests/fakes/store_text.hpp"

#include <thread>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

/// A platform that answers each call as a script says, on a thread of its own.
struct fixture
{
    explicit fixture(scripted_server::script p_script)
        : server_(context_, std::move(p_script)),
          store_({"127.0.0.1", port_of(server_.address())}, node_id("n1"),
                 2000ms),
          thread_([this] { context_.run(); })
    {
    }
    ~fixture()
    {
        context_.stop();
        thread_.join();
        server_.sessions_.clear();
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    static std::uint16_t port_of(const std::string& p_address)
    {
        return static_cast<std::uint16_t>(
            std::stoi(p_address.substr(p_address.rfind(':') + 1)));
    }
    boost::asio::io_context context_;
    scripted_server server_;
    platform_client store_;
    std::thread thread_;
};

} // namespace

// Guards against an end of the process: a version that is no number threw.
TEST_CASE("a version that can't be read is a failed call")
{
    std::string version;
    fixture f(
        [&](const auto& p_request, auto& r_session)
        {
            const bool is_write = p_request.head_.method_ == "PUT";
            const std::string body = is_write ? R"({"version":"x"})" : "text";
            r_session.write("HTTP/1.1 200 OK\r\nX-Version: " + version +
                            "\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
        });
    platform_client& store = f.store_;
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
}

// Guards against an end of each process at its start: a name of another type in
// the VM list threw.
TEST_CASE("an entry of the VM list that can't be read hides no other")
{
    fixture f(
        [](const auto&, auto& r_session)
        {
            r_session.write(json_response(
                R"([7,null,{"name":7},{"name":"a","address":[]},)"
                R"({"name":"b","address":"10.0.0.1","role":null},)"
                R"({"name":"c","address":"10.0.0.1","state":1},)"
                R"({"name":"h & x","address":"10.0.0.2"},)"
                R"({"name":"e1","role":"backend","state":"leaving"}])"));
        });
    const auto vms = f.store_.list_vms();
    REQUIRE(vms);
    REQUIRE(vms->size() == 2);
    CHECK(vms->front().name_ == "h & x");
    CHECK(vms->front().role_ == "entry");
    CHECK(vms->back().leaving_);
}
