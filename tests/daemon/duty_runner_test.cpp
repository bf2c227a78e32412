#include "daemon/duty_runner.hpp"

#include "platform/documents.hpp"
#include "tests/fakes/loopback.hpp"
#include "tests/platform/standin/in_memory_store.hpp"

#include <list>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

// Guards against usage that is counted twice or not at all, and against two
// contents for one window, when the node that reports it dies.

using namespace peridotspar;
using namespace std::chrono_literals;
using json = nlohmann::json;

namespace
{

std::string local(std::uint16_t p_port)
{
    return "127.0.0.1:" + std::to_string(p_port);
}

/// The platform's store, which can fall silent.
class store_server
{
public:
    explicit store_server(boost::asio::io_context& p_context)
        : server_(p_context, [this](const auto& p_request, auto& r_session)
                  { serve(p_request, r_session); })
    {
    }
    [[nodiscard]] std::string address() const { return server_.address(); }

    bool is_silent_ = false;
    int calls_ = 0;

private:
    standin::store_response answer(const http::request& p_request)
    {
        const std::string& method = p_request.head_.method_;
        const std::string kind = "peridotspar-duties";
        const auto body = json::parse(p_request.body_, nullptr, false);
        if (method == "GET")
        {
            return objects_.get(kind, "holder");
        }
        if (method == "POST")
        {
            return objects_.create(kind, body);
        }
        return objects_.replace(
            kind, "holder", body["metadata"]["rev"].get<std::uint64_t>(), body);
    }
    void serve(const http::request& p_request,
               scripted_server::session& r_session)
    {
        ++calls_;
        if (is_silent_)
        {
            return;
        }
        const auto response = answer(p_request);
        const std::string text = response.body_.dump();
        r_session.write("HTTP/1.1 " + std::to_string(response.status_) +
                        " X\r\nContent-Length: " + std::to_string(text.size()) +
                        "\r\n\r\n" + text);
    }

    standin::in_memory_store objects_;
    scripted_server server_;
};

/// The platform's service for duties, which records each call.
class duty_service
{
public:
    struct call
    {
        std::string path_;
        std::string holder_;
        std::uint64_t token_ = 0;
        json body_;
    };
    explicit duty_service(boost::asio::io_context& p_context)
        : server_(p_context, [this](const auto& p_request, auto& r_session)
                  { serve(p_request, r_session); })
    {
    }
    [[nodiscard]] std::string address() const { return server_.address(); }
    /// Requests of an account over all windows, each taken once.
    [[nodiscard]] std::uint64_t total(const std::string& p_account) const
    {
        std::map<std::int64_t, std::uint64_t> windows;
        for (const auto& each : calls_)
        {
            windows[each.body_.value("window_id", std::int64_t{0})] =
                each.body_["counts"].value(p_account, std::uint64_t{0});
        }
        std::uint64_t sum = 0;
        for (const auto& [window, requests] : windows)
        {
            sum += requests;
        }
        return sum;
    }
    /// Whether all calls for a window had the same content, tokens never fell
    /// and no token had two holders.
    [[nodiscard]] bool is_consistent() const
    {
        std::map<std::int64_t, json> contents;
        std::map<std::uint64_t, std::string> holders;
        std::uint64_t last = 0;
        for (const auto& each : calls_)
        {
            const auto window = each.body_["window_id"].get<std::int64_t>();
            const bool is_same =
                contents.try_emplace(window, each.body_).first->second ==
                    each.body_ &&
                holders.try_emplace(each.token_, each.holder_).first->second ==
                    each.holder_ &&
                each.token_ >= last;
            last = each.token_;
            if (!is_same)
            {
                return false;
            }
        }
        return true;
    }

    std::vector<call> calls_;
    /// Reports that aren't empty get no answer.
    bool is_silent_ = false;

private:
    void serve(const http::request& p_request,
               scripted_server::session& r_session)
    {
        const auto& headers = p_request.head_.headers_;
        calls_.push_back(
            {p_request.head_.target_,
             *http::find_header(headers, "Duty-Holder"),
             std::stoull(*http::find_header(headers, "Fence-Token")),
             json::parse(p_request.body_)});
        if (!is_silent_ || calls_.back().body_["counts"].empty())
        {
            r_session.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    }

    scripted_server server_;
};

/// The parts of a node that its duties use.
struct duty_node
{
    duty_node(boost::asio::io_context& p_context, entry_settings p_settings)
        : settings_(std::move(p_settings)),
          router_(p_context, {}),
          state_({[](auto) {}, [](const auto&) {}}, 2s, 1s),
          client_(p_context),
          gossip_(p_context,
                  {settings_.name_, settings_.callers_, settings_.peers_,
                   failure_domain_id("d")},
                  state_, router_, client_, true, 1),
          duties_(settings_, client_, gossip_, router_)
    {
        for (const auto& seed : settings_.seeds_)
        {
            gossip_.add_contact_point(seed);
        }
    }
    void tick(bool p_in_contact)
    {
        const time_point now = boot_clock().now();
        store_contact contact;
        contact.in_contact_ = p_in_contact;
        contact.confirmed_at_ = now;
        (void)gossip_.should_follow_store(contact, now);
        client_.tick(now);
        gossip_.tick(now);
        duties_.tick({p_in_contact, 1}, now);
    }
    void begin(const std::string& p_account)
    {
        static_cast<ingress::exchange_owner&>(router_).record_begun(
            routing::account_name(p_account));
    }

    entry_settings settings_;
    ingress::router router_;
    routing_state state_;
    backend::buffered_client client_;
    entry_gossip gossip_;
    duty_runner duties_;
};

struct fixture
{
    fixture() : store_(context_), service_(context_)
    {
        const std::vector<std::string> peers{local(free_port(context_)),
                                             local(free_port(context_)),
                                             local(free_port(context_))};
        for (const auto& peer : peers)
        {
            entry_settings settings;
            settings.name_ = node_id("n" + peer);
            settings.callers_ = peer;
            settings.peers_ = peer;
            settings.store_ = store_.address();
            settings.seeds_ = peers;
            settings.duty_service_ = service_.address();
            settings.duties_ = {"metering"};
            settings.lease_time_ = 600ms;
            settings.usage_window_ = 500ms;
            nodes_.push_back(std::make_unique<duty_node>(context_, settings));
        }
    }
    /// Runs all nodes until a condition holds; false if it doesn't in time.
    bool run(const std::function<bool()>& p_condition, duration p_time = 10s)
    {
        return run_until(
            context_, p_condition,
            [&]
            {
                for (const auto& node : nodes_)
                {
                    node->tick(!store_.is_silent_);
                }
            },
            std::chrono::duration_cast<std::chrono::milliseconds>(p_time));
    }
    /// The number of the node that holds the lease, if any does.
    [[nodiscard]] std::optional<std::size_t> holder() const
    {
        if (service_.calls_.empty())
        {
            return std::nullopt;
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if (nodes_[i]->settings_.name_.value() ==
                service_.calls_.back().holder_)
            {
                return i;
            }
        }
        return std::nullopt;
    }

    boost::asio::io_context context_;
    store_server store_;
    duty_service service_;
    std::vector<std::unique_ptr<duty_node>> nodes_;
};

} // namespace

TEST_CASE("one node reports the requests of all nodes, each once")
{
    fixture r;
    REQUIRE(r.run([&] { return !r.service_.calls_.empty(); }));
    for (int i = 0; i < 30; ++i)
    {
        r.nodes_[i % 3]->begin(i % 2 == 0 ? "a" : "b");
        r.run([] { return false; }, 20ms);
    }
    CHECK(r.run([&] { return r.service_.total("a") == 15; }));
    CHECK(r.run([&] { return r.service_.total("b") == 15; }));
    r.run([] { return false; }, 1s);
    CHECK(r.service_.total("a") == 15);
    CHECK(r.service_.is_consistent());
}

TEST_CASE("the next holder repeats a report that wasn't answered, unchanged")
{
    fixture r;
    REQUIRE(r.run([&] { return !r.service_.calls_.empty(); }));
    r.service_.is_silent_ = true;
    for (int i = 0; i < 30; ++i)
    {
        r.nodes_[i % 3]->begin("a");
    }
    REQUIRE(r.run([&] { return r.service_.total("a") == 30; }));
    const auto holder = r.holder();
    REQUIRE(holder);
    const std::string before = r.service_.calls_.back().holder_;
    r.nodes_.erase(r.nodes_.begin() + static_cast<std::ptrdiff_t>(*holder));
    r.service_.is_silent_ = false;
    CHECK(r.run([&] { return r.service_.calls_.back().holder_ != before; }));
    r.run([] { return false; }, 1500ms);
    CHECK(r.service_.total("a") == 30);
    CHECK(r.service_.is_consistent());
}

TEST_CASE("nobody does a duty once the lease can't be renewed")
{
    fixture r;
    REQUIRE(r.run([&] { return !r.service_.calls_.empty(); }));
    r.store_.is_silent_ = true;
    r.run([] { return false; }, 700ms);
    const std::size_t calls = r.service_.calls_.size();
    r.run([] { return false; }, 1500ms);
    CHECK(r.service_.calls_.size() == calls);
    r.store_.is_silent_ = false;
    CHECK(r.run([&] { return r.service_.calls_.size() > calls; }));
    CHECK(r.service_.is_consistent());
}
