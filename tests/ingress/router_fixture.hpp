#pragma once

#include "ingress/listener.hpp"
#include "ingress/router.hpp"
#include "tests/fakes/loopback.hpp"
#include "tests/platform/wire_headers.hpp"

#include <doctest/doctest.h>

namespace peridotspar::ingress
{

using namespace std::chrono_literals;

inline std::string make_response(const std::string& p_id, int p_status,
                                 const std::string& p_body,
                                 const std::string& p_more = "")
{
    return "HTTP/1.1 " + std::to_string(p_status) + " X\r\n" WIRE_ATTEMPT ": " +
           p_id + "\r\n" + p_more +
           "Content-Length: " + std::to_string(p_body.size()) + "\r\n\r\n" +
           p_body;
}

inline std::string make_event(int p_id)
{
    return "id: " + std::to_string(p_id) + "\ndata: " + std::to_string(p_id) +
           "\n\n";
}

inline std::string make_chunk(const std::string& p_bytes)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", p_bytes.size());
    return size.data() + p_bytes + "\r\n";
}

inline const std::string stream_response_head =
    "HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": a1\r\n" WIRE_SEAL ": s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

/// The response ends with its connection.
inline const std::string unframed_stream_head =
    "HTTP/1.1 200 OK\r\n" WIRE_ATTEMPT ": a1\r\n" WIRE_SEAL ": s\r\n\r\n";

inline bool contains(const std::string& p_text, const std::string& p_part)
{
    return p_text.find(p_part) != std::string::npos;
}

/// A router with two scripted servers of one service, on loopback.
struct router_fixture
{
    explicit router_fixture(scripted_server::script p_script,
                            dispatch::resend_limits p_resends = {},
                            double p_link_bytes_per_s = 0)
        : first_server_(context_, p_script),
          second_server_(context_, p_script),
          router_(context_, options(p_resends, p_link_bytes_per_s)),
          port_(free_port(context_)),
          listener_(
              context_, "127.0.0.1:" + std::to_string(port_),
              router_, [this]() -> const auto& { return router_.limits(); })
    {
        table_ = std::make_shared<routing::route_table>();
        table_->set_version(1);
        routing::service service;
        service.name_ = routing::service_name("s");
        table_->add(service);
        table_->require_keys();
        table_->add_key("key", {routing::account_name("acc"), std::nullopt});
        add_route("/safe/", routing::resend_mode::restart, false);
        add_route("/once/", routing::resend_mode::never, false);
        add_route("/stream/", routing::resend_mode::never, true);
        add_route("/resume/", routing::resend_mode::resume, true);
        add_server("i-1", first_server_);
        add_server("i-2", second_server_);
        apply();
    }
    static router_options options(dispatch::resend_limits p_resends,
                                  double p_link_bytes_per_s)
    {
        router_options result;
        result.resend_limits_ = p_resends;
        result.link_bytes_per_s_ = p_link_bytes_per_s;
        result.failure_domain_ = failure_domain_id("d");
        return result;
    }
    void add_route(const std::string& p_prefix, routing::resend_mode p_rule,
                   bool p_stream)
    {
        routing::route route;
        route.name_ = p_prefix;
        route.host_ = "h";
        route.prefix_ = p_prefix;
        route.resend_mode_ = p_rule;
        route.stream_ = p_stream;
        route.services_ = {{routing::service_name("s"), 1}};
        route.timeout_ = 1500ms;
        route.answer_target_ = 150ms;
        route.pause_target_ = 100ms;
        route.max_attempts_ = p_rule == routing::resend_mode::never ? 1 : 2;
        table_->add(route);
    }
    void add_server(const std::string& p_id, const scripted_server& p_server)
    {
        routing::server_entry entry;
        entry.instance_.id_ = p_id;
        entry.service_ = routing::service_name("s");
        entry.address_ = p_server.address();
        entry.domain_ = failure_domain_id("d");
        entry.version_ = "v1";
        entry.slots_ = 4;
        servers_[p_id] = entry;
    }
    void apply()
    {
        router_.set_servers(servers_);
        router_.set_route_table(table_);
        const time_point now = boot_clock().now();
        router_.streams().learn(stored_origins_, now, now);
    }
    /// Does what the store's part of the node does, at a store that answers at
    /// once, or not at all.
    void serve_store()
    {
        if (!store_answers_)
        {
            return;
        }
        auto& streams = router_.streams();
        streams.set_saved(streams.last_record());
        if (streams.take_list_request())
        {
            const time_point now = boot_clock().now();
            streams.learn(stored_origins_, now, now);
        }
    }
    static std::string request(const std::string& p_target,
                               const std::string& p_more = "",
                               const std::string& p_key = "key")
    {
        return "POST " + p_target +
               " HTTP/1.1\r\nHost: h\r\n" WIRE_ATTEMPT ": a1\r\n" WIRE_TIME_LEFT
               ": 1500\r\nAuthorization: Bearer " +
               p_key + "\r\n" + p_more + "Content-Length: 2\r\n\r\nhi";
    }
    /// A request with a body of `p_body_bytes`.
    static std::string long_request(const std::string& p_target,
                                    std::size_t p_body_bytes)
    {
        std::string text = request(p_target);
        text.resize(text.find("Content-Length"));
        return text + "Content-Length: " + std::to_string(p_body_bytes) +
               "\r\n\r\n" + std::string(p_body_bytes, 'x');
    }
    bool until(const std::function<bool()>& p_condition)
    {
        return run_until(context_, p_condition,
                         [this]
                         {
                             serve_store();
                             router_.tick();
                             listener_.tick(boot_clock().now());
                         });
    }
    /// Sends a request on a new connection and waits until `p_part` was
    /// received or the connection was closed. Returns all received bytes.
    std::string fetch(const std::string& p_request, const std::string& p_part)
    {
        test_caller caller(context_, port_);
        caller.send(p_request);
        until([&]
              { return contains(caller.received_, p_part) || caller.ended_; });
        return caller.received_;
    }
    [[nodiscard]] std::size_t request_count() const
    {
        return first_server_.requests_.size() + second_server_.requests_.size();
    }

    boost::asio::io_context context_;
    bool store_answers_ = true;
    routing::stream_origins stored_origins_{
        {{routing::service_name("s"), {"v1", 1}}}, {}};
    std::shared_ptr<routing::route_table> table_;
    routing::server_list::entries servers_;
    scripted_server first_server_;
    scripted_server second_server_;
    router router_;
    std::uint16_t port_;
    listener listener_;
};

} // namespace peridotspar::ingress
