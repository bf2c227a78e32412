#include "ingress/sse_event_buffer.hpp"

#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace peridotspar::ingress;

namespace
{

/// A stream of events, and the positions up to which it can be passed on.
struct event_stream
{
    struct boundary
    {
        std::size_t position_ = 0;
        std::string last_event_id_; ///< At this position.
    };

    /// Appends an event whose lines end with `p_line_end`, and its blank line
    /// with `p_blank_line_end`.
    void add(const std::string& p_id, const std::string& p_line_end,
             const std::string& p_blank_line_end)
    {
        bytes_ += "id: " + p_id + p_line_end;
        bytes_ += "data: " + p_id + p_line_end;
        // The event is complete at a CR, whether or not an LF follows.
        bytes_ += p_blank_line_end[0];
        boundaries_.push_back({bytes_.size(), p_id});
        if (p_blank_line_end.size() > 1)
        {
            bytes_ += p_blank_line_end.substr(1);
            boundaries_.push_back({bytes_.size(), p_id});
        }
    }
    /// The last boundary within the first `p_count` bytes.
    [[nodiscard]] boundary last_boundary(std::size_t p_count) const
    {
        boundary last;
        for (const auto& candidate : boundaries_)
        {
            if (candidate.position_ <= p_count)
            {
                last = candidate;
            }
        }
        return last;
    }

    std::string bytes_;
    std::vector<boundary> boundaries_;
};

/// Feeds the stream in three parts and checks what is passed on after each.
void check_split(const event_stream& p_stream, std::size_t p_first_cut,
                 std::size_t p_second_cut)
{
    const std::vector<std::size_t> cuts{p_first_cut, p_second_cut,
                                        p_stream.bytes_.size()};
    sse_event_buffer buffer;
    std::string passed;
    std::size_t fed = 0;
    for (const std::size_t cut : cuts)
    {
        passed += buffer.feed(p_stream.bytes_.substr(fed, cut - fed));
        fed = cut;
        const auto expected = p_stream.last_boundary(fed);
        REQUIRE(passed == p_stream.bytes_.substr(0, expected.position_));
        REQUIRE(buffer.last_event_id() == expected.last_event_id_);
    }
}

void check_all_splits(const event_stream& p_stream)
{
    for (std::size_t first = 0; first <= p_stream.bytes_.size(); ++first)
    {
        for (std::size_t second = first; second <= p_stream.bytes_.size();
             ++second)
        {
            check_split(p_stream, first, second);
        }
    }
}

} // namespace

TEST_CASE("events end at a blank line with any line ends, wherever it is cut")
{
    const std::vector<std::pair<std::string, std::string>> line_ends{
        {"\n", "\n"},   {"\n", "\r"},   {"\n", "\r\n"},   {"\r", "\r"},
        {"\r", "\r\n"}, {"\r\n", "\n"}, {"\r\n", "\r\n"}, {"\r\n", "\r"}};
    event_stream mixed;
    for (const auto& [line_end, blank_line_end] : line_ends)
    {
        event_stream uniform;
        uniform.add("1", line_end, blank_line_end);
        uniform.add("2", line_end, blank_line_end);
        check_all_splits(uniform);
        mixed.add(std::to_string(mixed.boundaries_.size()), line_end,
                  blank_line_end);
    }
    check_all_splits(mixed);
}

TEST_CASE("the id of an incomplete event isn't reported")
{
    for (const std::string line_end : {"\n", "\r", "\r\n"})
    {
        sse_event_buffer buffer;
        CHECK(buffer.feed("id: 7" + line_end + "da").empty());
        CHECK(buffer.last_event_id().empty());
        CHECK(buffer.feed("ta: x" + line_end + line_end) ==
              "id: 7" + line_end + "data: x" + line_end + line_end);
        CHECK(buffer.last_event_id() == "7");
    }
}

TEST_CASE("a dropped partial event leaves no trace in the resumed stream")
{
    for (const std::string partial :
         {"i", "id: 9", "id: 9\n", "id: 9\r", "id: 9\r\n", "id: 9\r\ndata: x",
          "id: 9\ndata: x\r"})
    {
        for (const std::string resumed :
             {"id: 3\ndata: y\n\n", "id: 3\r\rid: 4\r\r", "\ndata: z\n\n"})
        {
            sse_event_buffer buffer;
            CHECK(buffer.feed("id: 1\r\n\r\n" + partial) == "id: 1\r\n\r\n");
            buffer.drop_partial();
            CHECK(buffer.last_event_id() == "1");
            CHECK(buffer.feed(resumed) == resumed);
            CHECK(buffer.last_event_id() != "9");
        }
    }
}

TEST_CASE("an event without end is kept only up to a limit")
{
    constexpr std::size_t max_kept_bytes = 2U << 20U;
    const std::string part(1U << 16U, 'x');
    for (const std::string start : {"id: 5\ndata: ", "id: 5", "data: "})
    {
        sse_event_buffer buffer;
        std::string fed = "id: 1\n\n" + start;
        std::string passed = buffer.feed(fed);
        for (int i = 0; i < 128; ++i)
        {
            fed += part;
            passed += buffer.feed(part);
            REQUIRE(fed.size() - passed.size() <= max_kept_bytes);
        }
        CHECK(buffer.last_event_id() == "1");
        const std::string rest = "\n\nid: 6\n\nid: 7\nda";
        passed += buffer.feed(rest);
        CHECK(passed == fed + "\n\nid: 6\n\n");
        CHECK(buffer.last_event_id() == "6");
    }
}
