#pragma once

#include "dispatch/placement.hpp"

#include <doctest/doctest.h>

namespace peridotspar::dispatch
{

using namespace std::chrono_literals;

inline const routing::service_name engines("engines");
inline const time_point start{1h};

/// Ten engines, with a route for long documents and one for short questions.
struct engine_fixture
{
    engine_fixture()
    {
        routing::service service;
        service.name_ = engines;
        service.engine_ = routing::engine_traits{600000};
        table_.add(service);
        add_route("/long/", 2, 2500ms, 800ms);
        add_route("/short/", 0, 500ms, 200ms);
        for (int i = 0; i < 10; ++i)
        {
            add_server("i-" + std::to_string(i));
        }
        set();
    }
    void add_route(const std::string& p_prefix, unsigned p_priority,
                   duration p_target, duration p_pause)
    {
        routing::route route;
        route.host_ = "h";
        route.prefix_ = p_prefix;
        route.stream_ = true;
        route.priority_ = p_priority;
        route.answer_target_ = p_target;
        route.pause_target_ = p_pause;
        route.services_ = {{engines, 1}};
        table_.add(route);
    }
    void add_server(const std::string& p_id)
    {
        routing::server_entry entry;
        entry.instance_.id_ = p_id;
        entry.service_ = engines;
        entry.address_ = p_id + ":1";
        entry.domain_ = failure_domain_id("d");
        entry.slots_ = 64;
        servers_[p_id] = entry;
    }
    /// Adds a plain service, that is one without engines, with its servers.
    routing::service_name add_plain(const std::vector<std::string>& p_ids,
                                    unsigned p_slots)
    {
        routing::service service;
        service.name_ = routing::service_name("plain");
        table_.add(service);
        for (const auto& id : p_ids)
        {
            add_server(id);
            servers_[id].service_ = service.name_;
            servers_[id].slots_ = p_slots;
        }
        set();
        return service.name_;
    }
    void set() { placement_.servers().update(servers_, table_); }

    static request_profile long_request(std::uint64_t p_document)
    {
        request_profile made;
        made.service_ = engines;
        made.priority_ = 2;
        made.stream_ = true;
        made.answer_target_ = 2500ms;
        made.pause_target_ = 800ms;
        made.arrived_ = start;
        made.deadline_ = start + 15s;
        made.give_up_at_ = start + 10s;
        made.prompt_tokens_ = 17000;
        made.parts_ = {{p_document, 13300}, {p_document + 1000000, 3700}};
        return made;
    }
    static request_profile short_request(std::uint64_t p_id)
    {
        request_profile made;
        made.service_ = engines;
        made.stream_ = true;
        made.answer_target_ = 500ms;
        made.pause_target_ = 200ms;
        made.arrived_ = start;
        made.deadline_ = start + 15s;
        made.give_up_at_ = start + 2s;
        made.prompt_tokens_ = 1400;
        made.parts_ = {{p_id, 1400}};
        return made;
    }
    assignment send(const request_profile& p_request, time_point p_now)
    {
        const auto chosen = placement_.choose(p_request, {}, p_now, false);
        REQUIRE(chosen);
        placement_.servers().record_sent(p_request, *chosen, p_now);
        return *chosen;
    }

    routing::route_table table_;
    routing::server_list::entries servers_;
    placement placement_{failure_domain_id("d"), 1};
};

} // namespace peridotspar::dispatch
