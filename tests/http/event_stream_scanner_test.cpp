#include "http/event_stream_scanner.hpp"

#include <string>

#include <doctest/doctest.h>

using peridotspar::http::event_stream_scanner;

TEST_CASE("a stream is broken off unless it ends with an empty line")
{
    for (const std::string line_end : {"\n", "\r", "\r\n"})
    {
        const std::string event =
            "id: 1" + line_end + "data: x" + line_end + line_end;
        const std::string stream = event + event;
        for (std::size_t cut = 0; cut <= stream.size(); ++cut)
        {
            event_stream_scanner scanner;
            for (const char byte : stream.substr(0, cut))
            {
                scanner.skip({&byte, 1});
            }
            const bool is_boundary = cut % event.size() == 0;
            CHECK(scanner.is_broken_off() == !is_boundary);
            CHECK(scanner.events() ==
                  cut / event.size() +
                      (is_boundary || scanner.in_event() ? 0 : 1));
        }
    }
}

TEST_CASE("empty lines between events don't count as events")
{
    event_stream_scanner scanner;
    scanner.skip("\n\ndata: x\n\n\n\n");
    CHECK(scanner.events() == 1);
    CHECK_FALSE(scanner.is_broken_off());
}

TEST_CASE("a dropped partial event is no part of the next stream")
{
    event_stream_scanner scanner;
    scanner.skip("data: x\n\nda");
    scanner.drop_partial();
    CHECK_FALSE(scanner.is_broken_off());
    scanner.skip("\n");
    CHECK(scanner.events() == 1);
}
