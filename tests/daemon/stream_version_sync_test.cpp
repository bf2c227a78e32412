#include "daemon/stream_version_sync.hpp"

#include "platform/stream_documents.hpp"
#include "tests/fakes/loopback.hpp"
#include "tests/platform/standin/in_memory_store.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

const routing::service_name pool("s");
constexpr std::string_view kind = "peridotspar-streams";

/// The stand-in store on a loopback address.
class store_server
{
public:
    explicit store_server(boost::asio::io_context& p_context)
        : server_(p_context, [this](const auto& p_request, auto& r_session)
                  { serve(p_request, r_session); })
    {
    }
    [[nodiscard]] std::string address() const { return server_.address(); }

    standin::in_memory_store objects_;
    int lost_responses_ = 0; ///< To writes that are yet to be lost.
    int writes_ = 0;

private:
    standin::store_response answer(const http::request& p_request)
    {
        const std::string& method = p_request.head_.method_;
        const std::string& target = p_request.head_.target_;
        if (method == "GET")
        {
            return objects_.list(std::string(kind), "");
        }
        ++writes_;
        const auto body = nlohmann::json::parse(p_request.body_);
        if (method == "POST")
        {
            return objects_.create(std::string(kind), body);
        }
        return objects_.replace(
            std::string(kind), target.substr(target.rfind('/') + 1),
            body["metadata"]["rev"].get<std::uint64_t>(), body);
    }
    void serve(const http::request& p_request,
               scripted_server::session& r_session)
    {
        const auto response = answer(p_request);
        if (p_request.head_.method_ != "GET" && lost_responses_ > 0)
        {
            --lost_responses_;
            return;
        }
        const std::string text = response.body_.dump();
        r_session.write("HTTP/1.1 " + std::to_string(response.status_) +
                        " X\r\nContent-Length: " + std::to_string(text.size()) +
                        "\r\n\r\n" + text);
    }

    scripted_server server_;
};

/// A run of a node; all that it remembers ends with it.
struct node
{
    node(boost::asio::io_context& p_context, const store_server& p_store,
         const std::string& p_name, bool p_follows_store)
        : client_(p_context),
          sync_(client_, versions_, {p_store.address(), p_name, true, 1}),
          follows_store_(p_follows_store)
    {
        routing::route route;
        route.host_ = "h";
        route.prefix_ = "/";
        route.resend_mode_ = routing::resend_mode::resume;
        route.services_ = {{pool, 1}};
        routes_.set_version(1);
        routes_.add(route);
        set_servers(3, 0);
    }
    void set_servers(int p_old, int p_new)
    {
        routing::server_list::entries entries;
        for (int i = 0; i < p_old + p_new; ++i)
        {
            routing::server_entry entry;
            entry.service_ = pool;
            entry.version_ = i < p_old ? "v1" : "v2";
            entries["i-" + std::to_string(i)] = entry;
        }
        versions_.set_servers(entries, boot_clock().now());
    }
    void begin(const std::string& p_attempt, const std::string& p_version)
    {
        const time_point now = boot_clock().now();
        versions_.record_begin(p_attempt, {pool, p_version}, true, now + 60s,
                               now);
    }
    void tick()
    {
        const time_point now = boot_clock().now();
        client_.tick(now);
        sync_.tick(&routes_, follows_store_, now);
    }

    backend::buffered_client client_;
    routing::stream_versions versions_;
    routing::route_table routes_;
    stream_version_sync sync_;
    bool follows_store_;
};

struct fixture
{
    bool until(node& r_node, const std::function<bool()>& p_condition)
    {
        return run_until(context_, p_condition, [&] { r_node.tick(); });
    }

    boost::asio::io_context context_;
    store_server store_{context_};
};

} // namespace

TEST_CASE("the origin of a stream outlives the memory of all nodes")
{
    fixture r;
    {
        node first(r.context_, r.store_, "1.1.1.1:1", false);
        first.begin("a1", "v2");
        REQUIRE(
            r.until(first, [&] { return first.versions_.is_durable("a1"); }));
    }
    node later(r.context_, r.store_, "1.1.1.1:1", false);
    later.versions_.request_list();
    CHECK(
        r.until(later, [&] { return later.versions_.find("a1").has_value(); }));
    CHECK(later.versions_.find("a1")->origin_.version_ == "v2");
    CHECK(later.versions_.find("a1")->from_store_);
}

TEST_CASE("a record whose write gets no answer isn't taken for stored")
{
    fixture r;
    r.store_.lost_responses_ = 1;
    node one(r.context_, r.store_, "1.1.1.1:1", false);
    one.begin("a1", "v2");
    REQUIRE(r.until(one, [&] { return r.store_.writes_ == 1; }));
    one.tick();
    CHECK_FALSE(one.versions_.is_durable("a1"));
    CHECK(r.until(one, [&] { return one.versions_.is_durable("a1"); }));
}

TEST_CASE("a follower names the main version, and others learn it")
{
    fixture r;
    node follower(r.context_, r.store_, "1.1.1.1:1", true);
    node other(r.context_, r.store_, "2.2.2.2:2", false);
    CHECK(
        r.until(follower, [&]
                { return follower.versions_.main_version_of(pool) == "v1"; }));
    other.versions_.request_list();
    CHECK(r.until(other, [&]
                  { return other.versions_.main_version_of(pool) == "v1"; }));
    // Most servers have another version: none is certain for a time.
    follower.set_servers(1, 2);
    CHECK(r.until(
        follower,
        [&] {
            return follower.versions_.main_versions().at(pool).version_.empty();
        }));
    CHECK(r.store_.writes_ == 2);
}

TEST_CASE("records that an older copy of the store lacks are written again")
{
    fixture r;
    node one(r.context_, r.store_, "1.1.1.1:1", false);
    r.store_.objects_.make_copy();
    one.begin("a1", "v2");
    REQUIRE(r.until(one, [&] { return one.versions_.is_durable("a1"); }));
    one.versions_.set_unsaved();
    r.store_.objects_.restore_copy();
    CHECK(r.until(one, [&] { return one.versions_.is_durable("a1"); }));
    CHECK(r.store_.objects_.list(std::string(kind), "").body_["items"].size() ==
          1);
}

TEST_CASE("an object with origins that can't be read hides no other")
{
    routing::stream_origins origins;
    const std::string name = platform::streams_name("1.1.1.1:1", 5);
    for (const std::string text :
         {"7", "{}", R"({"streams":7})", R"({"streams":{"a":["s"]}})"})
    {
        CHECK_FALSE(
            platform::parse_stream_object({name, 1, false, text}, origins));
        CHECK_FALSE(origins.is_whole_);
    }
    CHECK(platform::parse_stream_object(
        {name, 1, false, platform::format_streams({{"a1", {pool, "v2"}}})},
        origins));
    CHECK(origins.streams_.at("a1").version_ == "v2");
}

TEST_CASE("a main version names the time of streams without records")
{
    fixture r;
    node follower(r.context_, r.store_, "1.1.1.1:1", true);
    REQUIRE(
        r.until(follower, [&]
                { return follower.versions_.main_version_of(pool) == "v1"; }));
    const auto& main = follower.versions_.main_versions().at(pool);
    // Twice the 60 s of a route without a timeout.
    CHECK(main.unrecorded_time_ == 120s);
}

TEST_CASE("old and new builds read each other's main versions")
{
    routing::stream_origins origins;
    const auto read = [&](const std::string& p_text)
    {
        REQUIRE(platform::parse_stream_object({"main.s", 3, false, p_text},
                                              origins));
        return origins.main_versions_.at(pool);
    };
    const auto old = read(R"({"service":"s","version":"v1"})");
    CHECK(old.version_ == "v1");
    CHECK(old.unrecorded_time_ == 0s);
    const auto now = read(platform::format_main_version(pool, "v2", 18s));
    CHECK(now.version_ == "v2");
    CHECK(now.unrecorded_time_ == 18s);
    for (const std::string odd : {"-5", "\"x\"", "[]", "1e99"})
    {
        CAPTURE(odd);
        CHECK(read(R"({"service":"s","version":"v1","unrecorded_ms":)" + odd +
                   "}")
                  .unrecorded_time_ == 0s);
    }
}
