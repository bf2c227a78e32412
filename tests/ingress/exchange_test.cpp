#include "tests/ingress/router_fixture.hpp"

#include <thread>

using namespace peridotspar;
using namespace peridotspar::ingress;
using namespace std::chrono_literals;

TEST_CASE("a repeatable request that fails is resent to another server")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 500, "bad", WIRE_SEAL ": s\r\n"));
        });
    fixture.second_server_.script_ = [](const auto&, auto& r_session)
    { r_session.write(make_response("a1", 200, "good", WIRE_SEAL ": s\r\n")); };
    for (int i = 0; i < 5; ++i)
    {
        CHECK(contains(fixture.fetch(router_fixture::request("/safe/"), "good"),
                       " 200 "));
    }
}

TEST_CASE("a non-repeatable request isn't resent after a lost connection")
{
    for (const bool reset : {false, true})
    {
        router_fixture fixture([reset](const auto&, auto& r_session)
                               { r_session.close(reset); });
        const std::string response =
            fixture.fetch(router_fixture::request("/once/"), "\r\n\r\n");
        CHECK(contains(response, " 502 "));
        CHECK_FALSE(contains(response, WIRE_SEAL));
        CHECK(fixture.request_count() == 1);
    }
}

TEST_CASE("a rejected request is resent to another server on any kind of route")
{
    for (const std::string target : {"/once/", "/safe/", "/stream/"})
    {
        router_fixture fixture(
            [](const auto&, auto& r_session) {
                r_session.write(
                    make_response("a1", 503, "", WIRE_NOT_RUN ": 1\r\n"));
            });
        fixture.second_server_.script_ = [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 200, "good", WIRE_SEAL ": s\r\n"));
        };
        CHECK(contains(fixture.fetch(router_fixture::request(target), "good"),
                       " 200 "));
    }
}

TEST_CASE("a request rejected by every server gets 503 with Retry-After")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 503, "", WIRE_NOT_RUN ": 1\r\n"));
        });
    const std::string response =
        fixture.fetch(router_fixture::request("/once/"), "\r\n\r\n");
    CHECK(contains(response, " 503 "));
    CHECK(contains(response, "Retry-After"));
}

TEST_CASE("a broken resumable stream continues from the last complete event")
{
    router_fixture fixture(
        [](const http::request& p_request, auto& r_session)
        {
            const auto* last =
                http::find_header(p_request.head_.headers_, WIRE_LAST_EVENT);
            if (last == nullptr)
            {
                // The connection is reset in the middle of the third event.
                r_session.write(stream_response_head +
                                make_chunk(make_event(1) + make_event(2)) +
                                make_chunk("id: 3\nda"));
                r_session.close(true);
                return;
            }
            CHECK(*last == "2");
            r_session.write(stream_response_head + make_chunk(make_event(3)) +
                            "0\r\n\r\n");
        });
    const std::string response =
        fixture.fetch(router_fixture::request("/resume/"), "0\r\n\r\n");
    CHECK(contains(response, "data: 1"));
    CHECK(contains(response, make_event(2)));
    CHECK(contains(response, make_event(3)));
    CHECK_FALSE(contains(response, "id: 3\ndaid"));
    CHECK(response.find("HTTP/1.1") == response.rfind("HTTP/1.1"));
    CHECK(fixture.request_count() == 2);
}

TEST_CASE("a stream that broke in an event over the size limit isn't resumed")
{
    // Part of the event was passed on, so that another server's events would
    // be appended to an incomplete one.
    constexpr int parts = 512;
    router_fixture fixture([](const auto&, auto&) {});
    const auto script = [&](const http::request&, auto& r_session)
    {
        r_session.write(stream_response_head + make_chunk(make_event(1)) +
                        make_chunk("id: 2\ndata: "));
        // Written in parts, as a larger one could block this thread, which
        // reads it as well.
        const auto write_part = [&fixture, self = r_session.shared_from_this()](
                                    const auto& p_self, int p_left) -> void
        {
            if (p_left == 0)
            {
                self->close(true);
                return;
            }
            self->write(make_chunk(std::string(4096, 'x')));
            boost::asio::post(fixture.context_,
                              [p_self, p_left] { p_self(p_self, p_left - 1); });
        };
        write_part(write_part, parts);
    };
    fixture.first_server_.script_ = script;
    fixture.second_server_.script_ = script;
    const std::string response =
        fixture.fetch(router_fixture::request("/resume/"), "never");
    CHECK(contains(response, make_event(1)));
    CHECK_FALSE(contains(response, "\r\n0\r\n\r\n"));
    CHECK(fixture.request_count() == 1);
}

TEST_CASE(
    "a complete response on a resumable route is delivered to its last byte")
{
    // Neither an event without its empty line nor a response that isn't a
    // stream of events loses bytes.
    for (const std::string& body :
         {make_event(1) + "data: unended", std::string("{\"error\":1}")})
    {
        router_fixture fixture(
            [&](const auto&, auto& r_session) {
                r_session.write(stream_response_head + make_chunk(body) +
                                "0\r\n\r\n");
            });
        const std::string response =
            fixture.fetch(router_fixture::request("/resume/"), "\r\n0\r\n\r\n");
        std::string received;
        auto at = response.find("\r\n\r\n") + 4;
        while (at < response.size())
        {
            const auto size = std::stoul(response.substr(at), nullptr, 16);
            at = response.find("\r\n", at) + 2;
            received += response.substr(at, size);
            at += size + 2;
        }
        CHECK(received == body);
    }
}

TEST_CASE("a stream without framing that breaks off isn't framed as complete")
{
    for (const std::string target : {"/stream/", "/resume/"})
    {
        for (const std::string partial : {"id: 2\nda", "id: 2\ndata: 2\n"})
        {
            router_fixture fixture(
                [&](const auto&, auto& r_session)
                {
                    r_session.write(unframed_stream_head + make_event(1) +
                                    partial);
                    r_session.close();
                },
                {0, 0, 10s});
            const std::string response =
                fixture.fetch(router_fixture::request(target), "0\r\n\r\n");
            CHECK(contains(response, make_event(1)));
            CHECK_FALSE(contains(response, "\r\n0\r\n\r\n"));
        }
    }
}

TEST_CASE("a resumable stream without framing that breaks off is resumed")
{
    router_fixture fixture(
        [](const http::request& p_request, auto& r_session)
        {
            const auto* last =
                http::find_header(p_request.head_.headers_, WIRE_LAST_EVENT);
            r_session.write(unframed_stream_head +
                            (last == nullptr ? make_event(1) + "id: 2\nda"
                                             : make_event(2) + make_event(3)));
            r_session.close();
        });
    const std::string response =
        fixture.fetch(router_fixture::request("/resume/"), "0\r\n\r\n");
    CHECK(contains(response, make_event(2)));
    CHECK(contains(response, make_event(3)));
    CHECK_FALSE(contains(response, "dataid"));
    CHECK_FALSE(contains(response, "daid"));
    CHECK(fixture.request_count() == 2);
}

TEST_CASE("a stream without framing that ends after an event is complete")
{
    for (const std::string target : {"/stream/", "/resume/"})
    {
        router_fixture fixture(
            [](const auto&, auto& r_session)
            {
                r_session.write(unframed_stream_head + make_event(1) +
                                make_event(2));
                r_session.close();
            });
        const std::string response =
            fixture.fetch(router_fixture::request(target), "0\r\n\r\n");
        CHECK(contains(response, make_event(2)));
        CHECK(contains(response, "\r\n0\r\n\r\n"));
        CHECK(fixture.request_count() == 1);
    }
}

TEST_CASE("a stream without framing and without an event isn't complete")
{
    router_fixture fixture(
        [&](const auto&, auto& r_session)
        {
            r_session.write(unframed_stream_head);
            r_session.close();
        });
    const std::string response =
        fixture.fetch(router_fixture::request("/stream/"), "0\r\n\r\n");
    CHECK_FALSE(contains(response, "\r\n0\r\n\r\n"));
}

TEST_CASE("a plain service's event stream that breaks off isn't delivered")
{
    router_fixture fixture(
        [](const auto&, auto& r_session)
        {
            r_session.write("HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT
                            ": a1\r\n" WIRE_SEAL
                            ": s\r\nContent-Type: text/event-stream; "
                            "charset=utf-8\r\n\r\n" +
                            make_event(1) + "data: un");
            r_session.close();
        });
    const std::string response =
        fixture.fetch(router_fixture::request("/once/"), "\r\n\r\n");
    CHECK(contains(response, " 502 "));
    CHECK_FALSE(contains(response, WIRE_SEAL));
    CHECK(fixture.request_count() == 1);
}

TEST_CASE("a response without end is cut at a size and isn't delivered")
{
    router_fixture fixture([](const auto&, auto&) {});
    std::size_t written = 0;
    const auto script = [&](const http::request&, auto& r_session)
    {
        r_session.write(unframed_stream_head);
        const auto write_part =
            [&, self = r_session.shared_from_this()](const auto& p_self) -> void
        {
            constexpr std::size_t part_bytes = 4096;
            constexpr std::size_t enough_bytes = 64U << 20U;
            if (self->closed_ || written > enough_bytes)
            {
                return;
            }
            self->write(std::string(part_bytes, 'x'));
            written += part_bytes;
            boost::asio::post(fixture.context_, [p_self] { p_self(p_self); });
        };
        write_part(write_part);
    };
    fixture.first_server_.script_ = script;
    fixture.second_server_.script_ = script;
    const std::string response =
        fixture.fetch(router_fixture::request("/once/"), "\r\n\r\n");
    CHECK(contains(response, " 502 "));
    CHECK(written <= (24U << 20U));
    CHECK(fixture.request_count() == 1);
}

TEST_CASE("a repeatable request is resent when its server stalls")
{
    router_fixture fixture([](const auto&, auto&) {});
    fixture.second_server_.script_ = [](const auto&, auto& r_session)
    { r_session.write(make_response("a1", 200, "good", WIRE_SEAL ": s\r\n")); };
    for (int i = 0; i < 4; ++i)
    {
        CHECK(contains(fixture.fetch(router_fixture::request("/safe/"), "good"),
                       " 200 "));
    }
}

TEST_CASE("a server that fails every request gets few further requests")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
        });
    fixture.first_server_.script_ = [](const auto&, auto& r_session)
    { r_session.write(make_response("a1", 500, "bad", WIRE_SEAL ": s\r\n")); };
    constexpr int requests = 40;
    for (int i = 0; i < requests; ++i)
    {
        fixture.fetch(router_fixture::request("/once/x"), "\r\n\r\n");
    }
    CHECK(fixture.first_server_.requests_.size() <= requests / 5);
    CHECK(fixture.request_count() == requests);
}

TEST_CASE("a server that responds 421 is avoided for further requests")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
        });
    // Another server has taken over the address and rejects at once, so that it
    // looks fast and idle; the correct server is slow.
    fixture.first_server_.script_ = [](const auto&, auto& r_session)
    { r_session.write(make_response("a1", 421, "", WIRE_NOT_RUN ": 1\r\n")); };
    fixture.second_server_.script_ = [](const auto&, auto& r_session)
    {
        std::this_thread::sleep_for(60ms);
        r_session.write(make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
    };
    constexpr int requests = 12;
    for (int i = 0; i < requests; ++i)
    {
        CHECK(
            contains(fixture.fetch(router_fixture::request("/safe/x"), "whole"),
                     "whole"));
    }
    CHECK(fixture.first_server_.requests_.size() <= 3);
}

TEST_CASE("a request that was never sent isn't charged to the retry budget")
{
    router_fixture fixture(
        [](const auto&, auto& r_session) {
            r_session.write(
                make_response("a1", 200, "whole", WIRE_SEAL ": s\r\n"));
        },
        {0, 0, 10s});
    fixture.first_server_.stop_listening();
    constexpr int requests = 10;
    for (int i = 0; i < requests; ++i)
    {
        CHECK(
            contains(fixture.fetch(router_fixture::request("/once/x"), "whole"),
                     "whole"));
    }
    CHECK(fixture.second_server_.requests_.size() == requests);
}
