#include "store/object_watcher.hpp"
#include "tests/fakes/loopback.hpp"
#include "tests/fakes/store_text.hpp"
#include "tests/platform/wire_headers.hpp"

#include <atomic>
#include <deque>
#include <thread>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

std::string response(int p_status, const std::string& p_body,
                     const std::string& p_headers = "")
{
    return "HTTP/1.1 " + std::to_string(p_status) + " X\r\n" + p_headers +
           "Content-Length: " + std::to_string(p_body.size()) + "\r\n\r\n" +
           p_body;
}

std::string item(const std::string& p_name)
{
    return R"({"metadata":{"name":")" + p_name + R"("},"spec":{}})";
}

struct recorder : object_watcher::listener
{
    void on_list(const std::string&, const object_list& p_list) override
    {
        lists_.push_back(p_list);
    }
    void on_changes(const std::string&,
                    const object_changes& p_changes) override
    {
        changes_.push_back(p_changes);
    }
    void on_contact_changed(const std::string&, bool p_in_contact) override
    {
        contacts_.push_back(p_in_contact);
    }
    void on_era_changed(const std::string&) override { ++era_changes_; }
    int era_changes_ = 0;
    std::vector<object_list> lists_;
    std::vector<object_changes> changes_;
    std::vector<bool> contacts_;
};

/// Connects a watcher to a server that sends the given responses in order, then
/// none. An empty response closes the connection.
struct fixture
{
    explicit fixture(
        std::deque<std::string> p_responses,
        std::function<bool(const object_record&)> p_is_wanted =
            [](const object_record&) { return true; })
        : responses_(std::move(p_responses)),
          server_(context_,
                  [this](const http::request& p_request, auto& r_session)
                  {
                      targets_.push_back(p_request.head_.target_);
                      if (responses_.empty())
                      {
                          return;
                      }
                      const std::string next = responses_.front();
                      responses_.pop_front();
                      if (next.empty())
                      {
                          r_session.close(true);
                          return;
                      }
                      r_session.write(next);
                  }),
          client_(context_),
          watcher_(client_,
                   {.store_address_ = server_.address(),
                    .kind_ = "servers",
                    .is_wanted_ = std::move(p_is_wanted)},
                   listener_)
    {
    }
    bool run_until_true(
        const std::function<bool()>& p_condition,
        std::chrono::milliseconds p_timeout = std::chrono::seconds(3))
    {
        return run_until(
            context_, p_condition,
            [this]
            {
                const auto now = clock_.now();
                watcher_.tick(now);
                client_.tick(now);
            },
            p_timeout);
    }
    boost::asio::io_context context_;
    boot_clock clock_;
    std::deque<std::string> responses_;
    std::vector<std::string> targets_;
    scripted_server server_;
    recorder listener_;
    backend::buffered_client client_;
    object_watcher watcher_;
};

} // namespace

TEST_CASE(
    "all pages are listed, then watched from the revision of the first page")
{
    fixture f({response(200, R"({"items":[)" + item("a") +
                                 R"(],"more":true,"at":5})"),
               response(200, R"({"items":[)" + item("b") +
                                 R"(],"more":false,"at":9})"),
               response(200, R"({"events":[{"removed":true,"object":)" +
                                 item("a") + R"(}],"at":12})")});
    REQUIRE(f.run_until_true([&] { return f.targets_.size() == 4; }));
    REQUIRE(f.listener_.lists_.size() == 1);
    CHECK(f.listener_.lists_[0].objects_.size() == 2);
    CHECK(f.targets_[1].find("after=a") != std::string::npos);
    CHECK(f.targets_[2].find("watch=5&") != std::string::npos);
    CHECK(f.targets_[3].find("watch=12&") != std::string::npos);
    REQUIRE(f.listener_.changes_.size() == 1);
    CHECK(f.listener_.changes_[0].changes_[0].removed_);
}

TEST_CASE(
    "objects are listed again at once if the watched revision has expired")
{
    fixture f({response(200, R"({"items":[],"at":5})"), response(410, "{}"),
               response(200, R"({"items":[)" + item("c") + R"(],"at":50})")});
    REQUIRE(f.run_until_true([&] { return f.targets_.size() == 4; }));
    CHECK(f.listener_.lists_.size() == 2);
    CHECK(f.targets_[3].find("watch=50&") != std::string::npos);
    CHECK(f.listener_.contacts_.empty());
}

TEST_CASE("error responses, closed connections and invalid bodies are retried")
{
    fixture f({response(503, "{}"), "", response(429, "{}"),
               response(200, "nonsense"),
               response(200, R"({"items":[],"at":5})"), "", response(503, "")});
    REQUIRE(f.run_until_true([&] { return f.targets_.size() == 8; }));
    CHECK(f.listener_.lists_.size() == 1);
    // The watch continues from the last known revision.
    CHECK(f.targets_[7].find("watch=5&") != std::string::npos);
    CHECK(f.listener_.contacts_ == std::vector<bool>{false, true, false});
}

TEST_CASE("an incomplete list is discarded and started again")
{
    fixture f({response(200, R"({"items":[)" + item("a") +
                                 R"(],"more":true,"at":5})"),
               "",
               response(200, R"({"items":[)" + item("a") + R"(],"at":7})")});
    REQUIRE(f.run_until_true([&] { return f.targets_.size() == 4; }));
    REQUIRE(f.listener_.lists_.size() == 1);
    CHECK(f.listener_.lists_[0].objects_.size() == 1);
    CHECK(f.targets_[2].find("after=") == std::string::npos);
}

TEST_CASE("a burst of changes is fetched with few requests")
{
    // The store responds to each watch request at once while there are changes.
    std::deque<std::string> responses{response(200, R"({"items":[],"at":1})")};
    for (int i = 0; i < 100; ++i)
    {
        responses.push_back(response(200, R"({"events":[{"object":)" +
                                              item("a") + R"(}],"at":)" +
                                              std::to_string(i) + "}"));
    }
    fixture f(responses);
    const auto start = f.clock_.now();
    REQUIRE(f.run_until_true(
        [&]
        { return f.clock_.now() - start > std::chrono::milliseconds(700); }));
    CHECK(f.targets_.size() <= 7);
    CHECK(f.targets_.size() >= 4);
    // A burst that lasts is fetched with fewer requests still: the list, and
    // twelve in 1.9 s.
    REQUIRE(f.run_until_true(
        [&]
        { return f.clock_.now() - start > std::chrono::milliseconds(2900); }));
    CHECK(f.targets_.size() <= 16);
    CHECK(f.targets_.size() >= 12);
}

TEST_CASE("a paused watcher has no failures")
{
    fixture f({response(503, ""), response(503, ""), response(503, "")});
    REQUIRE(f.run_until_true(
        [&] { return f.watcher_.consecutive_failures() > 0; }));
    f.watcher_.set_active(false);
    CHECK(f.watcher_.consecutive_failures() == 0);
    f.watcher_.set_active(true);
    CHECK(f.watcher_.consecutive_failures() == 0);
}

TEST_CASE("a store that comes back from an older copy is listed anew, and its "
          "revisions count as later")
{
    const std::string first_era = WIRE_STORE_ERA ": 1\r\n";
    const std::string second_era = WIRE_STORE_ERA ": 2\r\n";
    fixture f({response(200, R"({"items":[)" + item("a") + R"(],"at":50})",
                        first_era),
               // The event is news of another history.
               response(200,
                        R"({"events":[{"removed":true,"object":)" + item("a") +
                            R"(}],"at":51})",
                        second_era),
               response(200, R"({"items":[)" + item("b") + R"(],"at":40})",
                        second_era)});
    REQUIRE(f.run_until_true([&] { return f.targets_.size() == 4; }));
    CHECK(f.listener_.changes_.empty());
    CHECK(f.listener_.era_changes_ == 1);
    REQUIRE(f.listener_.lists_.size() == 2);
    CHECK(f.listener_.lists_[1].revision_ > f.listener_.lists_[0].revision_);
    CHECK(f.targets_[3].find("watch=40&") != std::string::npos);
}

TEST_CASE("an answer of an earlier era is ignored, and the call is repeated")
{
    const std::string first_era = WIRE_STORE_ERA ": 1\r\n";
    const std::string second_era = WIRE_STORE_ERA ": 2\r\n";
    fixture f({response(200, R"({"items":[)" + item("a") + R"(],"at":40})",
                        second_era),
               response(200,
                        R"({"events":[{"removed":true,"object":)" + item("a") +
                            R"(}],"at":51})",
                        first_era),
               response(200,
                        R"({"events":[{"removed":false,"object":)" + item("b") +
                            R"(}],"at":41})",
                        second_era)});
    REQUIRE(f.run_until_true([&] { return f.targets_.size() == 4; }));
    CHECK(f.listener_.era_changes_ == 0);
    CHECK(f.listener_.lists_.size() == 1);
    CHECK(f.targets_[2].find("watch=40&") != std::string::npos);
    REQUIRE(f.listener_.changes_.size() == 1);
    CHECK(f.listener_.changes_[0].changes_[0].object_.name_ == "b");
}

TEST_CASE("the objects are listed anew on demand, while a watch waits")
{
    fixture f({response(200, R"({"items":[)" + item("a") + R"(],"at":5})")});
    REQUIRE(f.run_until_true([&] { return f.targets_.size() == 2; }));
    f.responses_ = {
        response(200, R"({"items":[)" + item("b") + R"(],"at":9})")};
    f.watcher_.list_now();
    CHECK(f.watcher_.is_in_contact());
    REQUIRE(f.run_until_true([&] { return f.targets_.size() == 4; }));
    CHECK(f.targets_[2].find("watch=") == std::string::npos);
    CHECK(f.targets_[3].find("watch=9&") != std::string::npos);
    CHECK(f.listener_.lists_.size() == 2);
    CHECK(f.listener_.contacts_.empty());
}

TEST_CASE("only a call that should be answered at once shows an outage")
{
    const std::string list = response(200, R"({"items":[],"at":5})");
    const std::string none = response(200, R"({"events":[],"at":5})");
    // A watch that waits is cut off; the next call is answered.
    fixture cut({list, "", none});
    REQUIRE(cut.run_until_true([&] { return cut.targets_.size() == 4; }));
    CHECK(cut.listener_.contacts_ == std::vector<bool>{false, true});
    CHECK_FALSE(cut.watcher_.last_failure_at());
    // The next call fails as well.
    fixture away({list, "", "", none});
    REQUIRE(away.run_until_true([&] { return away.targets_.size() == 5; }));
    CHECK(away.watcher_.last_failure_at());
    // It refuses the call for its rate, or for another reason.
    fixture limited({list, response(429, "{}"), none});
    REQUIRE(
        limited.run_until_true([&] { return limited.targets_.size() == 4; }));
    CHECK_FALSE(limited.watcher_.last_failure_at());
    fixture refused({list, response(503, "{}"), none});
    REQUIRE(
        refused.run_until_true([&] { return refused.targets_.size() == 4; }));
    CHECK(refused.watcher_.last_failure_at());
}

// Guards against a list without end at a store that doesn't read a name in a
// request as it wrote it: nodes ran out of memory (LOST), and servers that were
// removed stayed in use (DRAIN).
TEST_CASE("a list whose page comes again goes on behind it")
{
    const std::string odd =
        response(200, R"({"items":[)" + item("a") + "," + item("batch&old") +
                          R"(],"more":true,"at":5})");
    fixture f({odd, odd,
               response(200, R"({"items":[)" + item("i-1") + R"(],"at":9})")});
    REQUIRE(f.run_until_true([&] { return f.targets_.size() >= 4; }));
    CHECK(f.targets_[1].find("after=batch%26old") != std::string::npos);
    CHECK(f.targets_[2].find("after=batch-") != std::string::npos);
    CHECK(f.targets_[3].find("watch=5&") != std::string::npos);
    REQUIRE(f.listener_.lists_.size() == 1);
    CHECK(f.listener_.lists_[0].covers("i-0"));
    CHECK_FALSE(f.listener_.lists_[0].covers("batch'"));
}

TEST_CASE("a list ends if the store sends the same page for any name")
{
    const std::string same =
        response(200, R"({"items":[)" + item("b") + R"(],"more":true,"at":5})");
    fixture f({same, same, same});
    REQUIRE(f.run_until_true([&] { return f.targets_.size() == 4; }));
    REQUIRE(f.listener_.lists_.size() == 1);
    CHECK_FALSE(f.listener_.lists_[0].covers("c"));
    // The watch begins, and the node is in contact with the store.
    CHECK(f.targets_[3].find("watch=5&") != std::string::npos);
    CHECK(f.watcher_.is_in_contact());
}

// Guards against a node that forgets all servers (503 beside sound servers).
TEST_CASE("a page without a readable object isn't the last one of a list")
{
    const std::string long_name(17'000, 'a');
    const std::string unreadable =
        "{\"metadata\":{\"name\":\"b\xff\",\"rev\":3},\"spec\":{}}";
    fixture f({response(200, R"({"items":[)" + item(long_name) +
                                 R"(],"more":true,"at":5})"),
               response(200, R"({"items":[)" + unreadable +
                                 R"(],"more":true,"at":5})"),
               response(200, R"({"items":[)" + item("i-1") + R"(],"at":9})")});
    REQUIRE(f.run_until_true([&] { return f.targets_.size() >= 4; }));
    CHECK(f.targets_[1].find("after=" + std::string(64, 'a') + "b") !=
          std::string::npos);
    CHECK(f.targets_[2].find("after=b%FF") != std::string::npos);
    REQUIRE(f.listener_.lists_.size() == 1);
    REQUIRE(f.listener_.lists_[0].objects_.size() == 1);
    CHECK(f.listener_.lists_[0].objects_[0].name_ == "i-1");
}

// Guards against one entry that stops the service: its bytes made the page
// unreadable, and the list was asked for again and again (RECOVER).
TEST_CASE("a list goes on behind an entry that breaks the text of its page")
{
    const std::string broken =
        R"({"metadata":{"name":"h&x","rev":3},"spec":"a"b"})";
    fixture f({response(200, R"({"items":[)" + item("a") + "," + broken + "," +
                                 item("i-1") + R"(],"more":false,"at":5})"),
               response(200, R"({"items":[)" + item("i-1") +
                                 R"(],"more":false,"at":7})")});
    REQUIRE(f.run_until_true([&] { return f.targets_.size() >= 3; }));
    CHECK(f.targets_[1].find("after=h%26x") != std::string::npos);
    CHECK(f.targets_[2].find("watch=5&") != std::string::npos);
    REQUIRE(f.listener_.lists_.size() == 1);
    const object_list& list = f.listener_.lists_[0];
    REQUIRE(list.objects_.size() == 2);
    CHECK(list.objects_[1].name_ == "i-1");
    CHECK(list.gaps_.empty());
    CHECK(f.listener_.contacts_.empty());
}

// Guards against a watch that gets the same unreadable changes for ever, and
// so nothing newer.
TEST_CASE("changes that can't be read are listed")
{
    const std::string list =
        response(200, R"({"items":[)" + item("a") + R"(],"at":5})");
    const std::string changes =
        response(200, R"({"events":[{"object":{"metadata":{"name":"h&x"},)"
                      R"("spec":"a"b"}},{"object":)" +
                          item("i-1") + R"(}],"at":7})");
    fixture f({list, changes,
               response(200, R"({"items":[)" + item("i-1") + R"(],"at":7})")});
    REQUIRE(f.run_until_true([&] { return f.targets_.size() >= 4; }));
    CHECK(f.targets_[2].find("watch=") == std::string::npos);
    CHECK(f.targets_[3].find("watch=7&") != std::string::npos);
    REQUIRE(f.listener_.lists_.size() == 2);
    CHECK(f.listener_.lists_[1].objects_[0].name_ == "i-1");
    CHECK(f.listener_.contacts_.empty());
}

// A node that starts serves by the pages that it can have, once the store has
// failed to give the others for the time that RECOVER allows at the shortest.
TEST_CASE("pages before one that is never answered are used")
{
    constexpr auto recovery_time = std::chrono::seconds(12);
    const std::string first =
        response(200, R"({"items":[)" + item("a") + R"(],"more":true,"at":5})");
    std::deque<std::string> responses;
    for (int i = 0; i < 200; ++i)
    {
        responses.push_back(first);
        responses.emplace_back();
    }
    fixture f(responses);
    CHECK(f.run_until_true([&] { return !f.listener_.lists_.empty(); },
                           recovery_time));
    for (const object_list& list : f.listener_.lists_)
    {
        CHECK(list.objects_.size() == 1);
        CHECK(list.covers("a"));
        CHECK_FALSE(list.covers("b"));
    }
}

// Guards against documents of other writers that fill a node's memory.
TEST_CASE("a list keeps only what its reader wants, and no more than it may")
{
    const auto page = [](const std::string& p_name, bool p_has_more)
    {
        return response(
            200, R"({"items":[{"metadata":{"name":")" + p_name +
                     R"("},"spec":{"text":")" + std::string(1U << 20U, 'x') +
                     R"("}},)" + item(p_name + "s") + R"(],"more":)" +
                     (p_has_more ? "true" : "false") + R"(,"at":5})");
    };
    std::deque<std::string> pages;
    for (char name = 'a'; name < 'o'; ++name)
    {
        pages.push_back(page(std::string(1, name), name + 1 < 'o'));
    }
    fixture f(pages);
    REQUIRE(f.run_until_true([&] { return !f.listener_.lists_.empty(); }));
    CHECK(f.listener_.lists_[0].objects_.size() < 20);
    CHECK(f.listener_.lists_[0].covers("es"));
    CHECK_FALSE(f.listener_.lists_[0].covers("ns"));

    fixture choosy(pages, [](const object_record& p_object)
                   { return p_object.document_.size() < 100; });
    REQUIRE(choosy.run_until_true(
        [&] { return !choosy.listener_.lists_.empty(); }));
    CHECK(choosy.listener_.lists_[0].objects_.size() == 14);
    CHECK(choosy.listener_.lists_[0].gaps_.empty());
}

// Guards against a watch that is repeated in vain while other writers' changes
// are larger than a node takes: servers that leave meanwhile get requests.
TEST_CASE("changes that are too large for a response are listed")
{
    const std::string large(backend::buffered_client::max_response_bytes, 'x');
    const std::string list = response(200, R"({"items":[],"at":5})");
    const std::string changes =
        response(200, R"({"events":[],"text":")" + large + R"("})");
    // A thread of its own, as such a response exceeds the socket's buffers.
    boost::asio::io_context server_context;
    std::atomic<int> lists = 0;
    scripted_server server(server_context,
                           [&](const http::request& p_request, auto& r_session)
                           {
                               const bool is_watch =
                                   contains(p_request.head_.target_, "watch=");
                               lists += is_watch ? 0 : 1;
                               if (!is_watch || lists < 2)
                               {
                                   r_session.write(is_watch ? changes : list);
                               }
                           });
    std::thread server_thread([&] { server_context.run(); });
    boost::asio::io_context context;
    backend::buffered_client client(context);
    recorder listener;
    object_watcher watcher(
        client, {.store_address_ = server.address(), .kind_ = "servers"},
        listener);
    boot_clock clock;
    CHECK(run_until(
        context, [&] { return lists == 2; },
        [&]
        {
            watcher.tick(clock.now());
            client.tick(clock.now());
        }));
    server_context.stop();
    server_thread.join();
    CHECK(listener.contacts_.empty());
}
