#include "tests/platform/standin/in_memory_store.hpp"
#include "tests/platform/standin/store_faults.hpp"

#include <thread>

#include <doctest/doctest.h>

using namespace peridotspar::standin;
using namespace std::chrono_literals;

namespace
{

json object(const std::string& p_name, const json& p_spec,
            const json& p_finalizers = json::array())
{
    return {{"metadata", {{"name", p_name}, {"finalizers", p_finalizers}}},
            {"spec", p_spec}};
}

std::uint64_t revision_of(const store_response& p_answer)
{
    return p_answer.body_.at("metadata").at("rev").get<std::uint64_t>();
}

} // namespace

TEST_CASE("the stand-in store writes only if the given revision is current")
{
    in_memory_store store;
    const auto made = store.create("k", object("a", {{"x", 1}}));
    CHECK(made.status_ == 201);
    CHECK(store.create("k", object("a", {})).status_ == 409);
    const auto first = revision_of(made);
    const auto next = store.replace("k", "a", first, object("a", {{"x", 2}}));
    CHECK(next.status_ == 200);
    CHECK(revision_of(next) > first);
    const auto late = store.replace("k", "a", first, object("a", {{"x", 3}}));
    CHECK(late.status_ == 409);
    CHECK(late.body_["spec"]["x"] == 2);
    CHECK(store.replace("k", "b", std::nullopt, object("b", {})).status_ ==
          404);
}

TEST_CASE("a write that changes nothing adds no revision and no event")
{
    in_memory_store store;
    const auto made = revision_of(store.create("k", object("a", {{"x", 1}})));
    const auto same =
        store.replace("k", "a", std::nullopt, object("a", {{"x", 1}}));
    CHECK(revision_of(same) == made);
    CHECK(store.watch("k", made, 0ms).body_["events"].empty());
}

TEST_CASE("lists are paged, and a watch continues from their revision")
{
    in_memory_store store;
    for (int i = 0; i < 600; ++i)
    {
        store.create("k", object("n" + std::to_string(1000 + i), {}));
    }
    const auto first = store.list("k", "").body_;
    CHECK(first["items"].size() == 500);
    CHECK(first["more"] == true);
    const auto last = first["items"].back()["metadata"]["name"];
    const auto rest = store.list("k", last.get<std::string>()).body_;
    CHECK(rest["items"].size() == 100);
    CHECK(rest["more"] == false);
    const auto at = first["at"].get<std::uint64_t>();
    std::thread writer([&] { store.create("k", object("later", {})); });
    const auto news = store.watch("k", at, 2000ms);
    writer.join();
    REQUIRE(news.body_["events"].size() == 1);
    CHECK(news.body_["events"][0]["object"]["metadata"]["name"] == "later");
}

TEST_CASE("a watch reports only its own kind, and answers 410 for lost history")
{
    in_memory_store store;
    store.create("k", object("a", {}));
    CHECK(store.watch("other", 1, 0ms).body_["events"].empty());
    store.forget_history();
    CHECK(store.watch("k", 1, 0ms).status_ == 410);
    const auto at = store.list("k", "").body_["at"].get<std::uint64_t>();
    CHECK(store.watch("k", at, 0ms).status_ == 200);
}

TEST_CASE("an object with finalizers is marked as deleting, then removed")
{
    in_memory_store store;
    store.create("k", object("a", {}, json::array({"f"})));
    CHECK(store.remove("k", "a", std::nullopt).status_ == 200);
    CHECK(store.get("k", "a").body_["metadata"]["deleting"] == true);
    store.replace("k", "a", std::nullopt, object("a", {}));
    CHECK(store.get("k", "a").status_ == 404);
    const auto events = store.watch("k", 1, 0ms).body_["events"];
    CHECK(events.back()["removed"] == true);
}

TEST_CASE("a status write leaves the rest of the object unchanged")
{
    in_memory_store store;
    store.create("k", object("a", {{"x", 1}}));
    CHECK(store.set_status("k", "a", std::nullopt, {{"status", {{"y", 2}}}})
              .status_ == 200);
    const auto now = store.get("k", "a").body_;
    CHECK(now["spec"]["x"] == 1);
    CHECK(now["status"]["y"] == 2);
}

TEST_CASE("faults follow their script, and errors name the wrong field")
{
    store_faults faults;
    CHECK(faults
              .set({{"doors", {{"2", "silent"}}},
                    {"slow_ms", 5},
                    {"lose_answers", 1},
                    {"late_ms", 70},
                    {"late_writes", 2}})
              .empty());
    CHECK(faults.next(1, false).port_state_ == port_state::open);
    CHECK(faults.next(2, false).port_state_ == port_state::silent);
    CHECK(faults.next(1, false).delay_ == 5ms);
    const auto first = faults.next(1, true);
    CHECK(first.drops_response_);
    CHECK(first.effect_delay_ == 70ms);
    CHECK(faults.next(1, true).drops_response_);
    CHECK_FALSE(faults.next(1, true).drops_response_);
    CHECK(faults.set({{"doors", {{"2", "ajar"}}}}) ==
          "doors.2 isn't a state of a door");
    CHECK(faults.set({{"slow_ms", "much"}}) == "slow_ms isn't a whole number");
    CHECK(faults.next(2, false).port_state_ == port_state::silent);
}

TEST_CASE("calls are counted with their cost")
{
    store_faults faults;
    faults.count("list", true);
    faults.count("list", false);
    CHECK(faults.counts()["list"] == 2);
    CHECK(faults.counts()["price"].get<double>() == doctest::Approx(1.1));
}

TEST_CASE("the stand-in store comes back from a copy in a new era")
{
    in_memory_store store;
    store.create("k", object("a", {}));
    store.make_copy();
    const auto lost = revision_of(store.create("k", object("b", {})));
    store.restore_copy();
    CHECK(store.era() == 2);
    CHECK(store.get("k", "b").status_ == 404);
    CHECK(store.watch("k", lost, 0ms).status_ == 410);
    // Its revision is given out again.
    CHECK(revision_of(store.create("k", object("c", {}))) == lost);
}

TEST_CASE("the stand-in store passes on another writer's entry byte by byte")
{
    in_memory_store store;
    store.create("k", object("a", {{"x", 1}}));
    store.put_raw("k", "b&1", "{\"text\":\"a\"b\"}");
    const std::string page = store.list("k", "").text();
    CHECK(page.find(R"("spec":{"x":1})") != std::string::npos);
    CHECK(page.find("\"spec\":{\"text\":\"a\"b\"}}") != std::string::npos);
    CHECK_FALSE(json::accept(page));
    CHECK(json::accept(store.list("k", "b&1").text()));
    const auto events = store.watch("k", 1, 0ms);
    CHECK(events.body_["events"].size() == 2);
    CHECK_FALSE(json::accept(events.text()));
}

TEST_CASE("a page of the stand-in store ends after a megabyte")
{
    in_memory_store store;
    for (const std::string name : {"a", "b", "c"})
    {
        store.put_raw("k", name, "\"" + std::string(600'000, 'x') + "\"");
    }
    const auto page = store.list("k", "").body_;
    CHECK(page["items"].size() == 2);
    CHECK(page["more"] == true);
    CHECK(store.list("k", "b").body_["more"] == false);
}
