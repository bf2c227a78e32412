#include "store/list_cursor.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;
using end = list_cursor::end;

namespace
{

const time_point begin{};

object_page page_up_to(std::optional<std::string> p_last, bool p_has_more)
{
    object_page page;
    page.has_more_ = p_has_more;
    page.last_name_ = std::move(p_last);
    return page;
}

struct fixture
{
    fixture() { cursor_.restart(begin); }
    end add(const std::string& p_last, duration p_at = {})
    {
        return cursor_.add(page_up_to(p_last, true), begin + p_at);
    }
    list_cursor cursor_{10s};
};

bool is_known(const list_cursor& p_cursor, const std::string& p_name)
{
    return object_list{{}, 0, p_cursor.gaps()}.covers(p_name);
}

} // namespace

TEST_CASE("a list goes on after the last name of each page")
{
    fixture f;
    CHECK(f.cursor_.after() == "");
    CHECK(f.add("c") == end::none);
    CHECK(f.cursor_.after() == "c");
    CHECK(f.cursor_.add(page_up_to("d", false), begin) == end::complete);
    CHECK(f.cursor_.gaps().empty());
    f.cursor_.restart(begin);
    CHECK(f.cursor_.after() == "");
}

// Guards against a list without end at a store that misreads a name.
TEST_CASE("a list skips a name behind which the store doesn't go on")
{
    fixture f;
    CHECK(f.add("batch&old") == end::none);
    CHECK(f.cursor_.after() == "batch&old");
    CHECK(f.add("batch&old") == end::none);
    CHECK(f.cursor_.after() == "batch-");
    CHECK(f.add("i-1") == end::none);
    CHECK(is_known(f.cursor_, "batch"));
    CHECK_FALSE(is_known(f.cursor_, "batch'"));
    CHECK(is_known(f.cursor_, "i-0"));
}

TEST_CASE("a list ends if the same page comes whatever name it goes on by")
{
    fixture f;
    CHECK(f.add("b") == end::none);
    CHECK(f.add("b") == end::none);
    CHECK(f.add("b") == end::not_advancing);
    CHECK(f.cursor_.pages() == 3);
    CHECK(is_known(f.cursor_, "a"));
    CHECK_FALSE(is_known(f.cursor_, "c"));
}

TEST_CASE("a list skips a name that is too long for a request")
{
    fixture f;
    CHECK(f.add(std::string(17'000, 'a')) == end::none);
    CHECK(f.cursor_.after() == std::string(64, 'a') + "b");
    // Each of these bytes takes three in a request.
    CHECK(f.add(std::string(400, '&')) == end::none);
    CHECK(f.cursor_.after() == "-");
}

TEST_CASE("a page that gives no name to go on by hides nothing that is known")
{
    fixture f;
    CHECK(f.add("c") == end::none);
    CHECK(f.cursor_.add(page_up_to(std::nullopt, true), begin) == end::no_name);
    CHECK(is_known(f.cursor_, "b"));
    CHECK_FALSE(is_known(f.cursor_, "d"));
}

TEST_CASE("a list that goes on for ever ends after its time")
{
    fixture f;
    int pages = 0;
    end result = end::none;
    while (result == end::none)
    {
        REQUIRE(++pages < 1000);
        result = f.add("n" + std::to_string(1000 + pages), pages * 100ms);
    }
    CHECK(result == end::too_long);
    CHECK(pages == 100);
    CHECK(is_known(f.cursor_, "n1050"));
    CHECK_FALSE(is_known(f.cursor_, "z"));
}

TEST_CASE("the successor of a name is later and needs no encoding")
{
    CHECK(plain_successor("batch&old") == "batch-");
    CHECK(plain_successor("batch old") == "batch-");
    CHECK(plain_successor("a/b") == "a0");
    CHECK(plain_successor("abc") == "abc-");
    CHECK(plain_successor("ab\xc3\xa4") == "ac");
    CHECK(plain_successor("a~~\xc3\xa4") == "b");
    CHECK(plain_successor("~\xc3\xa4") == "");
    CHECK(plain_successor("\xc3\xa4") == "");
    CHECK(plain_successor("") == "-");
}
