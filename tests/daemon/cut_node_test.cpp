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

/// A port at which connections hang, as the queue of new ones is full.
class hanging_port
{
public:
    explicit hanging_port(boost::asio::io_context& p_context)
        : acceptor_(p_context)
    {
        acceptor_.open(boost::asio::ip::tcp::v4());
        acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
        acceptor_.listen(0);
        for (int i = 0; i < 4; ++i)
        {
            auto& filler = fillers_.emplace_back(p_context);
            filler.async_connect(acceptor_.local_endpoint(),
                                 [](const auto&) {});
        }
        p_context.run_for(10ms);
        p_context.restart();
    }
    [[nodiscard]] std::string address() const
    {
        return local(acceptor_.local_endpoint().port());
    }

private:
    boost::asio::ip::tcp::acceptor acceptor_;
    std::list<boost::asio::ip::tcp::socket> fillers_;
};

/// The nodes that stores list once both have their servers. Nodes that know
/// each other sooner would take over each other's servers.
using listed_nodes = std::shared_ptr<std::vector<std::string>>;

/// A store that shows the servers at given addresses.
std::unique_ptr<scripted_server>
make_store(boost::asio::io_context& p_context,
           const std::vector<std::string>& p_servers,
           const listed_nodes& p_nodes)
{
    const auto serve =
        [p_servers, p_nodes](const auto& p_request, auto& r_session)
    {
        const std::string& target = p_request.head_.target_;
        if (contains(target, "watch="))
        {
            return; // Nothing changes.
        }
        if (target.starts_with("/v1/objects/config"))
        {
            r_session.write(json_response(
                R"({"items":[{"metadata":{"name":"main","rev":1},"spec":
                {"version":3,"routes":[{"host":"h","path_prefix":"/once/",
                "kind":"unsafe","service":"s","timeout_ms":2000},
                {"host":"h","path_prefix":"/safe/","kind":"safe",
                "max_attempts":2,"service":"s","timeout_ms":2000},
                {"host":"h","path_prefix":"/stream/","kind":"streaming",
                "slo_ms":500,"itl_target_ms":300,
                "service":"s","timeout_ms":2000}],
                "services":[{"name":"s"}]}}],"more":false,"at":5})"));
            return;
        }
        std::string items;
        if (contains(target, "nodes"))
        {
            for (const auto& node : *p_nodes)
            {
                items += (items.empty() ? "" : ",") +
                         (R"({"metadata":{"name":")" + node +
                          R"(","rev":3},"spec":{"peer":")" + node + R"("}})");
            }
        }
        if (target.starts_with("/v1/objects/servers"))
        {
            for (std::size_t i = 0; i < p_servers.size(); ++i)
            {
                items += (items.empty() ? "" : ",") +
                         (R"({"metadata":{"name":"i-)" + std::to_string(i) +
                          R"(","rev":2},"spec":{"service":"s","addr":")" +
                          p_servers[i] +
                          R"(","zone":"d","version":"v1","slots":4,)"
                          R"("state":"ready"}})");
            }
        }
        r_session.write(
            json_response(R"({"items":[)" + items + R"(],"at":5})"));
    };
    return std::make_unique<scripted_server>(p_context, serve);
}

/// Two nodes, of which the second has no path to any server.
struct fixture
{
    explicit fixture(bool p_hanging)
        : first_engine_(context_, answer), second_engine_(context_, answer)
    {
        std::vector<std::string> dead;
        for (auto& port : hanging_)
        {
            port = std::make_unique<hanging_port>(context_);
            dead.push_back(p_hanging ? port->address()
                                     : local(free_port(context_)));
        }
        stores_[0] = make_store(
            context_, {first_engine_.address(), second_engine_.address()},
            nodes_listed_);
        stores_[1] = make_store(context_, dead, nodes_listed_);
        for (auto& ports : ports_)
        {
            for (auto& port : ports)
            {
                port = free_port(context_);
            }
        }
        start(0);
        start(1);
    }
    ~fixture()
    {
        raise(SIGTERM);
        for (auto& thread : threads_)
        {
            thread.join();
        }
    }
    static void answer(const http::request& p_request,
                       scripted_server::session& r_session)
    {
        const auto* id =
            http::find_header(p_request.head_.headers_, WIRE_ATTEMPT);
        const std::string head = "HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": " +
                                 (id == nullptr ? "" : *id) +
                                 "\r\n" WIRE_SEAL ": s\r\n";
        if (p_request.head_.target_.starts_with("/stream/"))
        {
            r_session.write(head + "Content-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"
                                   "13\r\nid: 1\ndata: whole\n\n\r\n"
                                   "0\r\n\r\n");
            return;
        }
        r_session.write(head + "Content-Length: 5\r\n\r\nwhole");
    }
    void start(int p_number)
    {
        entry_settings settings;
        settings.name_ = node_id("n" + std::to_string(p_number));
        settings.failure_domain_ = failure_domain_id("d");
        settings.callers_ = local(ports_[p_number][0]);
        settings.readiness_ = local(ports_[p_number][1]);
        settings.directory_ = local(ports_[p_number][2]);
        settings.peers_ = local(ports_[p_number][3]);
        settings.store_ = stores_[p_number]->address();
        settings.seeds_ = {settings.peers_};
        settings.directory_age_ = 50ms;
        settings.stop_grace_ = 2000ms;
        nodes_[p_number] = std::make_unique<entry_node>(settings, "/nowhere");
        threads_[p_number] =
            std::thread([this, p_number] { nodes_[p_number]->run(); });
    }
    std::string fetch(std::uint16_t p_port, const std::string& p_request)
    {
        test_caller caller(context_, p_port);
        caller.send(p_request);
        run_until(
            context_,
            [&]
            {
                return contains(caller.received_, "whole") || caller.ended_ ||
                       contains(caller.received_, " 503 ");
            },
            [] {}, 2500ms);
        return caller.received_;
    }
    /// Waits until each node has its servers, and then until the second knows
    /// the first.
    bool is_joined()
    {
        for (const auto& ports : ports_)
        {
            if (!is_ready(ports[1]))
            {
                return false;
            }
        }
        for (const auto& ports : ports_)
        {
            nodes_listed_->push_back(local(ports[3]));
        }
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (std::chrono::steady_clock::now() < end)
        {
            test_caller caller(context_, ports_[1][2]);
            caller.send("GET /v1/resolve?name=h HTTP/1.1\r\nHost: h\r\n\r\n");
            run_until(
                context_, [&] { return contains(caller.received_, "addrs"); },
                [] {}, 100ms);
            if (contains(caller.received_, local(ports_[0][0])) &&
                contains(caller.received_, local(ports_[1][0])))
            {
                return true;
            }
        }
        return false;
    }

    bool is_ready(std::uint16_t p_port)
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (std::chrono::steady_clock::now() < end)
        {
            test_caller caller(context_, p_port);
            caller.send("GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n");
            const bool ready = run_until(
                context_, [&] { return contains(caller.received_, " 200 "); },
                [] {}, 100ms);
            if (ready)
            {
                return true;
            }
        }
        return false;
    }

    boost::asio::io_context context_;
    listed_nodes nodes_listed_ = std::make_shared<std::vector<std::string>>();
    scripted_server first_engine_;
    scripted_server second_engine_;
    std::array<std::unique_ptr<hanging_port>, 2> hanging_;
    std::array<std::unique_ptr<scripted_server>, 2> stores_;
    std::array<std::array<std::uint16_t, 4>, 2> ports_{};
    std::array<std::unique_ptr<entry_node>, 2> nodes_;
    std::array<std::thread, 2> threads_;
};

std::string request(const std::string& p_target, const std::string& p_attempt)
{
    return "POST " + p_target + " HTTP/1.1\r\nHost: h\r\n" WIRE_ATTEMPT ": " +
           p_attempt +
           "\r\n" WIRE_TIME_LEFT ": 2000\r\nContent-Length: 2\r\n\r\nhi";
}

/// How many of 12 requests the node serves at the first attempt, once it had
/// two seconds to find out about its links.
int count_served(fixture& r_nodes, int p_node, const std::string& p_target)
{
    const auto end = std::chrono::steady_clock::now() + 2s;
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i)
    {
        r_nodes.fetch(
            r_nodes.ports_[p_node][0],
            request(p_target, "early" + p_target + std::to_string(i)));
        run_until(
            r_nodes.context_, [] { return false; }, [] {}, 100ms);
    }
    int served = 0;
    for (int i = 0; i < 12; ++i)
    {
        const std::string response =
            r_nodes.fetch(r_nodes.ports_[p_node][0],
                          request(p_target, p_target + std::to_string(i)));
        served += contains(response, " 200 ") && contains(response, "whole");
    }
    return served;
}

/// The largest number of times that a server got the same attempt.
std::size_t most_runs(const fixture& p_nodes)
{
    std::map<std::string, std::size_t> runs;
    for (const auto* engine : {&p_nodes.first_engine_, &p_nodes.second_engine_})
    {
        for (const auto& each : engine->requests_)
        {
            ++runs[*http::find_header(each.head_.headers_, WIRE_ATTEMPT)];
        }
    }
    std::size_t most = 0;
    for (const auto& [attempt, count] : runs)
    {
        most = std::max(most, count);
    }
    return most;
}

} // namespace

TEST_CASE("a node whose connections to all servers are refused serves callers")
{
    fixture nodes(false);
    REQUIRE(nodes.is_joined());
    CHECK(count_served(nodes, 1, "/once/") >= 11);
    CHECK(count_served(nodes, 1, "/stream/") >= 11);
    CHECK(most_runs(nodes) == 1);
}

TEST_CASE("a node whose connections to all servers hang serves callers")
{
    fixture nodes(true);
    REQUIRE(nodes.is_joined());
    CHECK(count_served(nodes, 1, "/once/") >= 11);
    CHECK(count_served(nodes, 1, "/safe/") >= 11);
    CHECK(most_runs(nodes) == 1);
}
