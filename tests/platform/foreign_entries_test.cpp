#include "platform/documents.hpp"
#include "platform/object_calls.hpp"

#include <algorithm>
#include <random>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

std::string entry(const std::string& p_more)
{
    return R"({"service":"s","addr":"10.0.0.1:80","zone":"z","version":"v1",)"
           R"("slots":4,"state":"ready","seq":3)" +
           p_more + "}";
}

std::string object(const std::string& p_name, const std::string& p_spec)
{
    return R"({"metadata":{"name":")" + p_name + R"(","rev":3},"spec":)" +
           p_spec + "}";
}

std::string nested(std::size_t p_depth)
{
    return std::string(p_depth, '[') + std::string(p_depth, ']');
}

/// Entries of another writer that name no server.
std::vector<std::string> foreign_entries()
{
    return {nested(100'000),
            entry(R"(,"more":)" + nested(100'000)),
            entry(R"(,"more":1e999)"),
            entry(",\"more\":\"\xff\xfe\""),
            entry(",\"born\":1e30"),
            entry(",\"born\":\"1\""),
            R"({"service":"s","addr":"10.0.0.1:70000","zone":"z",)"
            R"("version":"v1","slots":4,"state":"ready"})",
            R"({"service":"s","addr":"10.0.0.1:0","zone":"z",)"
            R"("version":"v1","slots":4,"state":"ready"})",
            R"({"service":"s","addr":"nowhere","zone":"z",)"
            R"("version":"v1","slots":4,"state":"ready"})",
            R"({"service":"s","addr":"10.0.0.1:80","zone":"z",)"
            R"("version":"v1","slots":1e300,"state":"ready"})",
            R"({"service":"s","addr":"10.0.0.1:80","zone":"z",)"
            R"("version":"v1","slots":-4,"state":"ready"})",
            R"({"service":"s","addr":"10.0.0.1:80","zone":"z",)"
            R"("version":"v1","slots":99999999999999999999,"state":"ready"})",
            "null",
            "\"text\"",
            "{}"};
}

/// Contents of another writer that break the text of the response around them.
std::vector<std::string> breaking_contents()
{
    return {R"({"text":"a"b"})",
            R"(")",
            R"("text)",
            R"({"text":"a\"})",
            R"({"text":["a")",
            R"({)",
            R"([)",
            R"({}})",
            R"({}},)",
            R"({"text":"{"metadata":{"name":"i-9"},"spec":{}}"})",
            R"({"a":"},{"metadata":"})",
            "",
            std::string(2000, '[') + "\"",
            std::string("\"\0\n", 3)};
}

/// The members of the store's responses may come in any order.
std::string page_text(const std::string& p_items, bool p_number_first)
{
    return p_number_first
               ? R"({"at":530,"more":false,"items":[)" + p_items + "]}"
               : R"({"items":[)" + p_items + R"(],"more":false,"at":530})";
}

/// Checks a page that begins with a good entry, i-1, before a foreign one, i-2,
/// and has another good one behind it: i-3 is on the page as well, or the list
/// goes on with it.
void check_hides_none(const tl::expected<object_page, std::string>& p_page)
{
    REQUIRE(p_page);
    CHECK(p_page->revision_ == 530);
    REQUIRE_FALSE(p_page->objects_.empty());
    CHECK(p_page->objects_.front().name_ == "i-1");
    const bool has_last = p_page->objects_.back().name_ == "i-3";
    const bool goes_on = p_page->has_more_ && p_page->last_name_ == "i-2";
    CHECK(has_last != goes_on);
}

/// Whether the good entries around a foreign one are read.
bool reads_good_entries(const std::string& p_foreign)
{
    const std::string good = object("i-1", entry(""));
    const std::string last = object("i-3", entry(""));
    const auto page =
        platform::parse_page(R"({"items":[)" + good + "," + p_foreign + "," +
                             last + R"(],"more":false,"at":530})");
    const auto changes = platform::parse_changes(
        R"({"events":[{"removed":false,"object":)" + good +
        R"(},{"removed":false,"object":)" + p_foreign +
        R"(},{"removed":true,"object":)" + last + R"(}],"at":533})");
    if (!page || !changes || page->objects_.size() < 2 ||
        changes->changes_.size() < 2)
    {
        return false;
    }
    const auto& first = page->objects_.front();
    return first.name_ == "i-1" && page->objects_.back().name_ == "i-3" &&
           platform::parse_server(first.name_, first.document_).has_value() &&
           changes->changes_.front().object_.name_ == "i-1" &&
           changes->changes_.back().object_.name_ == "i-3" &&
           changes->changes_.back().removed_;
}

} // namespace

TEST_CASE("an entry of another writer hides no server in a list or a watch")
{
    REQUIRE(platform::parse_server("i", entry("")));
    for (const std::string& foreign : foreign_entries())
    {
        CHECK_FALSE(platform::parse_server("i", foreign));
        CHECK(reads_good_entries(object("i-2", foreign)));
    }
    // Objects that aren't any.
    for (const std::string text : {"7", "[]", "{}", R"({"metadata":7})",
                                   R"({"metadata":{"name":7,"rev":1}})",
                                   R"({"metadata":{"name":"x","rev":"1"}})",
                                   R"({"metadata":{"name":"x","rev":1e999}})"})
    {
        CHECK(reads_good_entries(text));
    }
}

TEST_CASE("random damage to an entry hides no other")
{
    std::mt19937 random(7);
    const std::string alphabet = "{}[]:,0123456789eE+-.\\ntrufalse \t\x01\x80";
    for (int round = 0; round < 3000; ++round)
    {
        // Quotes stay as they are: the store sends texts whose strings end.
        std::string damaged = entry(R"(,"more":[{"a":1},[2,3]])");
        for (int i = 0; i < 3; ++i)
        {
            char& byte = damaged[1 + random() % (damaged.size() - 2)];
            const char other = alphabet[random() % alphabet.size()];
            const bool is_structure =
                std::string_view("\"{}[]\\").find(byte) != std::string::npos ||
                std::string_view("{}[]\\").find(other) != std::string::npos;
            byte = is_structure ? byte : other;
        }
        CHECK(reads_good_entries(object("i-2", damaged)));
    }
}

TEST_CASE("a list whose text is cut off is an error")
{
    const std::string whole = R"({"items":[)" + object("i-1", entry("")) +
                              R"(],"more":false,"at":530})";
    for (std::size_t size = 0; size < whole.size(); ++size)
    {
        CHECK_FALSE(platform::parse_page(whole.substr(0, size)));
    }
}

// Guards against one entry with a quote in its bytes that made the whole list
// unreadable: no node that started anew served a request (RECOVER).
TEST_CASE("an entry that breaks the text of a page hides no entry before it, "
          "and the list goes on after its name")
{
    const std::string first = object("i-1", entry(""));
    const std::string last = object("i-3", entry(""));
    for (const std::string& content : breaking_contents())
    {
        const std::string broken = object("i-2", content);
        for (const bool number_first : {false, true})
        {
            CAPTURE(content);
            CAPTURE(number_first);
            check_hides_none(platform::parse_page(
                page_text(first + "," + broken + "," + last, number_first)));
            // As the last entry of a page.
            const auto ending = platform::parse_page(
                page_text(first + "," + broken, number_first));
            REQUIRE(ending);
            CHECK(ending->revision_ == 530);
            CHECK(ending->last_name_ == "i-2");
        }
    }
}

TEST_CASE("two entries that break the text of a page hide none between them")
{
    for (const std::string& content : breaking_contents())
    {
        CAPTURE(content);
        const auto page = platform::parse_page(page_text(
            object("i-1", content) + "," + object("i-2", entry("")) + "," +
                object("i-3", content) + "," + object("i-4", entry("")),
            false));
        REQUIRE(page);
        const bool has_second =
            std::any_of(page->objects_.begin(), page->objects_.end(),
                        [](const object_record& p_object)
                        {
                            return p_object.name_ == "i-2" &&
                                   platform::parse_server(p_object.name_,
                                                          p_object.document_);
                        });
        const bool goes_on = page->has_more_ && page->last_name_ == "i-1";
        CHECK((has_second || goes_on));
    }
}

TEST_CASE(
    "an entry whose name breaks the text of a page gives a name before it")
{
    const auto page = platform::parse_page(
        page_text(object("i-1", entry("")) + "," + object("i-2\"x", entry("")) +
                      "," + object("i-3", entry("")),
                  false));
    REQUIRE(page);
    CHECK(page->has_more_);
    CHECK(page->last_name_ == "i-2");
}

TEST_CASE("changes with an entry that breaks their text are an error")
{
    const auto changes = [](const std::string& p_content)
    {
        return platform::parse_changes(
            R"({"events":[{"removed":false,"object":)" +
            object("i-2", p_content) + R"(},{"removed":true,"object":)" +
            object("i-3", entry("")) + R"(}],"at":533})");
    };
    CHECK(changes(entry("")));
    for (const std::string& content : breaking_contents())
    {
        CAPTURE(content);
        const auto read = changes(content);
        // Or the change behind it is read.
        const bool has_last = read && !read->changes_.empty() &&
                              read->changes_.back().object_.name_ == "i-3" &&
                              read->changes_.back().removed_;
        CHECK((!read || has_last));
    }
}

TEST_CASE("random damage to the text of an entry hides no other for good")
{
    std::mt19937 random(11);
    const std::string alphabet = "\"\"\\{}[]:,01e-tx \t\x01\x80";
    const std::string first = object("i-1", entry(""));
    const std::string last = object("i-3", entry(""));
    for (int round = 0; round < 20000; ++round)
    {
        std::string damaged = entry(R"(,"more":[{"a":1},[2,3]])");
        for (int i = 0; i < 3; ++i)
        {
            damaged[random() % damaged.size()] =
                alphabet[random() % alphabet.size()];
        }
        CAPTURE(damaged);
        check_hides_none(platform::parse_page(
            page_text(first + "," + object("i-2", damaged) + "," + last,
                      round % 2 == 0)));
    }
}
