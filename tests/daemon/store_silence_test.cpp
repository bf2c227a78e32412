#include "daemon/entry_node.hpp"
#include "tests/fakes/loopback.hpp"
#include "tests/fakes/store_text.hpp"
#include "tests/platform/wire_headers.hpp"

#include <csignal>
#include <set>
#include <thread>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

using clock = std::chrono::steady_clock;

/// How long after a disruption of the store all nodes may be behind it.
constexpr std::chrono::milliseconds stability_time = 3000ms;

std::uint64_t number_after(const std::string& p_text, const std::string& p_name)
{
    const auto at = p_text.find(p_name + "=");
    return at == std::string::npos
               ? 0
               : std::stoull(p_text.substr(at + p_name.size() + 1));
}

/// A store with one configuration, whose connections can fall silent.
class silent_store
{
public:
    silent_store(boost::asio::io_context& p_context,
                 std::string p_engine_address)
        : context_(p_context),
          engine_address_(std::move(p_engine_address)),
          server_(context_, [this](const auto& p_request, auto& r_session)
                  { serve(p_request.head_, r_session); })
    {
    }

    /// No open connection gets a response from now on.
    void silence_open_connections()
    {
        for (const auto& session : server_.sessions_)
        {
            silent_.insert(session.get());
        }
        watches_.clear();
    }
    /// While down, new connections are silent for good, too.
    void set_down(bool p_down) { down_ = p_down; }
    /// Acknowledges a configuration with a route for each version.
    void set_version(std::uint64_t p_version)
    {
        version_ = p_version;
        ++revision_;
        for (const auto& [session, kind] : std::exchange(watches_, {}))
        {
            if (kind == "config")
            {
                session->write(json_response(events()));
            }
            else
            {
                watches_.push_back({session, kind});
            }
        }
    }
    [[nodiscard]] std::string address() const { return server_.address(); }
    [[nodiscard]] std::size_t waiting_watches() const
    {
        return watches_.size();
    }

private:
    struct waiting_watch
    {
        std::shared_ptr<scripted_server::session> session_;
        std::string kind_;
    };

    void serve(const http::request_head& p_head,
               scripted_server::session& r_session)
    {
        if (down_)
        {
            silent_.insert(&r_session);
        }
        if (silent_.contains(&r_session))
        {
            return;
        }
        const bool is_config = p_head.target_.starts_with("/v1/objects/config");
        const auto since = number_after(p_head.target_, "watch");
        if (since == 0)
        {
            r_session.write(json_response(page(p_head.target_)));
            return;
        }
        if (is_config && since < revision_)
        {
            r_session.write(json_response(events()));
            return;
        }
        wait(
            r_session.shared_from_this(), is_config ? "config" : "servers",
            std::chrono::milliseconds(number_after(p_head.target_, "wait_ms")));
    }
    void wait(const std::shared_ptr<scripted_server::session>& p_session,
              const std::string& p_kind, std::chrono::milliseconds p_time)
    {
        watches_.push_back({p_session, p_kind});
        const auto timer =
            std::make_shared<boost::asio::steady_timer>(context_, p_time);
        timer->async_wait(
            [this, timer, p_session](const auto&)
            {
                const auto removed =
                    std::erase_if(watches_, [&](const waiting_watch& p_watch)
                                  { return p_watch.session_ == p_session; });
                if (removed > 0)
                {
                    p_session->write(json_response(R"({"events":[],"at":)" +
                                                   std::to_string(revision_) +
                                                   "}"));
                }
            });
    }
    [[nodiscard]] std::string config() const
    {
        std::string routes;
        for (std::uint64_t version = 1; version <= version_; ++version)
        {
            routes += std::string(version > 1 ? "," : "") +
                      R"({"host":"h","path_prefix":"/v)" +
                      std::to_string(version) +
                      R"(/","kind":"unsafe","service":"s","timeout_ms":2000})";
        }
        return R"({"metadata":{"name":"main","rev":)" +
               std::to_string(revision_) + R"(},"spec":{"version":)" +
               std::to_string(version_) + R"(,"routes":[)" + routes +
               R"(],"services":[{"name":"s"}]}})";
    }
    [[nodiscard]] std::string events() const
    {
        return R"({"events":[{"removed":false,"object":)" + config() +
               R"(}],"at":)" + std::to_string(revision_) + "}";
    }
    [[nodiscard]] std::string page(const std::string& p_target) const
    {
        std::string items;
        if (p_target.starts_with("/v1/objects/config"))
        {
            items = config();
        }
        else if (p_target.starts_with("/v1/objects/servers"))
        {
            items =
                R"({"metadata":{"name":"i-1","rev":2},"spec":
                {"service":"s","addr":")" +
                engine_address_ +
                R"(","zone":"d","version":"v1","slots":4,"state":"ready"}})";
        }
        return R"({"items":[)" + items + R"(],"more":false,"at":)" +
               std::to_string(revision_) + "}";
    }

    boost::asio::io_context& context_;
    std::string engine_address_;
    std::uint64_t version_ = 1;
    std::uint64_t revision_ = 5;
    bool down_ = false;
    std::set<const scripted_server::session*> silent_;
    std::vector<waiting_watch> watches_;
    scripted_server server_;
};

/// Three nodes that follow the same store.
struct fixture
{
    fixture()
        : engine_(context_,
                  [](const auto&, auto& r_session)
                  {
                      r_session.write("HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT
                                      ": a1\r\n" WIRE_SEAL ": s\r\n"
                                      "Content-Length: 5\r\n\r\nwhole");
                  }),
          store_(context_, engine_.address())
    {
        for (auto& ports : ports_)
        {
            for (auto& port : ports)
            {
                port = free_port(context_);
            }
        }
        for (std::size_t i = 0; i < ports_.size(); ++i)
        {
            start(i);
        }
    }
    ~fixture()
    {
        raise(SIGTERM);
        for (auto& thread : threads_)
        {
            thread.join();
        }
    }
    static std::string local(std::uint16_t p_port)
    {
        return "127.0.0.1:" + std::to_string(p_port);
    }
    void start(std::size_t p_number)
    {
        const auto& ports = ports_[p_number];
        entry_settings settings;
        settings.name_ = node_id("n" + std::to_string(p_number));
        settings.failure_domain_ = failure_domain_id("d");
        settings.callers_ = local(ports[0]);
        settings.readiness_ = local(ports[1]);
        settings.directory_ = local(ports[2]);
        settings.peers_ = local(ports[3]);
        settings.store_ = store_.address();
        settings.seeds_ = {local(ports_[0][3])};
        settings.directory_age_ = 50ms;
        settings.stop_grace_ = 2000ms;
        nodes_[p_number] = std::make_unique<entry_node>(settings, "/nowhere");
        threads_[p_number] =
            std::thread([this, p_number] { nodes_[p_number]->run(); });
    }
    /// Whether each node serves the route of a version by `p_end`.
    bool all_serve(std::uint64_t p_version, clock::time_point p_end)
    {
        const std::string request = "POST /v" + std::to_string(p_version) +
                                    "/x HTTP/1.1\r\nHost: h\r\n" WIRE_ATTEMPT
                                    ": a1\r\nContent-Length: 0\r\n\r\n";
        for (const auto& ports : ports_)
        {
            bool served = false;
            while (!served && clock::now() < p_end)
            {
                test_caller caller(context_, ports[0]);
                caller.send(request);
                const auto has_response = [&] {
                    return caller.received_.find("\r\n\r\n") !=
                           std::string::npos;
                };
                run_until(
                    context_, has_response, [] {}, 200ms);
                served = caller.received_.find(" 200 ") != std::string::npos;
            }
            if (!served)
            {
                return false;
            }
        }
        return true;
    }
    /// Waits until all nodes serve and follow the store.
    bool all_follow()
    {
        constexpr std::size_t kinds = 2;
        return all_serve(1, clock::now() + 5s) &&
               run_until(context_,
                         [this] {
                             return store_.waiting_watches() >=
                                    kinds * nodes_.size();
                         });
    }
    void run_for(std::chrono::milliseconds p_time)
    {
        run_until(
            context_, [] { return false; }, [] {}, p_time);
    }

    boost::asio::io_context context_;
    scripted_server engine_;
    silent_store store_;
    std::array<std::array<std::uint16_t, 4>, 3> ports_{};
    std::array<std::unique_ptr<entry_node>, 3> nodes_;
    std::array<std::thread, 3> threads_;
};

} // namespace

TEST_CASE("a configuration is in force in time though all open connections to "
          "the store fell silent")
{
    fixture f;
    REQUIRE(f.all_follow());
    f.store_.silence_open_connections();
    const auto silent_since = clock::now();
    f.run_for(200ms);
    f.store_.set_version(2);
    CHECK(f.all_serve(2, silent_since + stability_time));
}

TEST_CASE("a configuration is in force in time after an outage in which the "
          "store was silent")
{
    fixture f;
    REQUIRE(f.all_follow());
    f.store_.silence_open_connections();
    f.store_.set_down(true);
    f.run_for(4000ms);
    f.store_.set_down(false);
    const auto back_since = clock::now();
    f.store_.set_version(2);
    CHECK(f.all_serve(2, back_since + stability_time));
}
