#include "daemon/config_manager.hpp"
#include "tests/fakes/loopback.hpp"

#include <thread>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

std::string make_stored_text(const std::string& p_class)
{
    return R"({"author":"ops","nonce":"1","document":{"classes":[{"name":")" +
           p_class +
           R"(","tier":0}],"accounts":[],"models":[],"services":[],)"
           R"("backend_servers":[],"operators":[{"name":"ops","key_sha256":")" +
           std::string(64, 'a') + R"("}]}})";
}

} // namespace

TEST_CASE("only valid revisions above the current one are applied")
{
    // The manager isn't started, so nothing connects to this address.
    platform_client store({"127.0.0.1", 1}, node_id("n1"),
                          std::chrono::milliseconds(100));
    std::vector<std::uint64_t> applied_revisions;
    config_manager manager(
        store,
        {[&](std::shared_ptr<const snapshot> p_snapshot)
         { applied_revisions.push_back(p_snapshot->revision_.value()); },
         [] { return false; }, [](config_revision) { return std::nullopt; }});
    CHECK(manager.apply_if_newer({5, make_stored_text("a")}));
    CHECK_FALSE(manager.apply_if_newer({5, make_stored_text("b")}));
    CHECK_FALSE(manager.apply_if_newer({4, make_stored_text("b")}));
    CHECK_FALSE(manager.apply_if_newer({6, "{\"document\":{}}"}));
    CHECK_FALSE(manager.apply_if_newer({6, "no JSON"}));
    CHECK(manager.current()->document_.classes_.front().name_ == "a");
    CHECK(manager.apply_if_newer({7, make_stored_text("b")}));
    CHECK(applied_revisions == std::vector<std::uint64_t>{5, 7});
}

TEST_CASE("a revision is in force in time though the watch that waits for it "
          "is silent")
{
    using namespace std::chrono_literals;
    // A change must be in force on all nodes this long after it is confirmed.
    constexpr auto max_delay = 8s;
    boost::asio::io_context context;
    std::atomic<int> watches{0};
    scripted_server server(
        context,
        [&](const auto& p_request, auto& r_session)
        {
            const bool is_watch =
                p_request.head_.target_.find("/watch/") != std::string::npos;
            if (is_watch && watches++ == 0)
            {
                return;
            }
            const std::string text = make_stored_text(is_watch ? "b" : "a");
            r_session.write("HTTP/1.1 200 OK\r\nX-Version: " +
                            std::string(is_watch ? "6" : "5") +
                            "\r\nContent-Length: " +
                            std::to_string(text.size()) + "\r\n\r\n" + text);
        });
    std::thread thread([&] { context.run(); });
    const std::string address = server.address();
    platform_client store(
        {"127.0.0.1", static_cast<std::uint16_t>(
                          std::stoi(address.substr(address.rfind(':') + 1)))},
        node_id("n1"), 2000ms);
    std::atomic<std::uint64_t> revision{0};
    config_manager manager(store,
                           {[&](std::shared_ptr<const snapshot> p_snapshot)
                            { revision = p_snapshot->revision_.value(); },
                            [] { return true; },
                            [](config_revision) { return std::nullopt; }});
    manager.start();
    const auto wait_for = [&](std::uint64_t p_revision, auto p_time)
    {
        const auto end = std::chrono::steady_clock::now() + p_time;
        while (revision < p_revision && std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(10ms);
        }
        return revision >= p_revision;
    };
    CHECK(wait_for(5, 2s));
    CHECK(wait_for(6, max_delay));
    context.stop();
    thread.join();
    server.sessions_.clear();
    manager.stop();
}
