// Stand-in for the cooperative platform's object store. It serves objects over
// HTTP on one port ("door") for each node of a test and applies a fault script.

#include "core/log.hpp"
#include "standins/command_line.hpp"
#include "standins/run.hpp"
#include "tests/platform/standin/in_memory_store.hpp"
#include "tests/platform/standin/store_faults.hpp"
#include "tests/platform/wire_headers.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <list>
#include <optional>
#include <thread>

namespace
{

using namespace peridotspar;
using namespace peridotspar::standin;

constexpr std::string_view objects_path = "/v1/objects/";
constexpr std::string_view control_path = "/control/";
constexpr std::size_t max_body_bytes = 4U << 20U;
constexpr std::chrono::milliseconds body_read_timeout{5000};
constexpr std::chrono::milliseconds max_wait{30000};
constexpr std::chrono::milliseconds max_silence{60000};
constexpr std::uint32_t threads_per_port = 64;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int too_many_requests = 429;
constexpr int unavailable = 503;

/// A write to an object or its status, or the creation of an object of a kind.
struct object_call
{
    std::string method_;
    std::string kind_;
    std::string name_;
    bool on_status_ = false;
    in_memory_store::revision revision_;
    json body_;
};

/// Parses a non-negative decimal integer; nothing if the text isn't one.
std::optional<std::uint64_t> to_number(const std::string& p_text)
{
    std::uint64_t number = 0;
    const char* end = p_text.data() + p_text.size();
    const auto [stop, error] = std::from_chars(p_text.data(), end, number);
    return error == std::errc{} && stop == end
               ? std::optional<std::uint64_t>(number)
               : std::nullopt;
}

/// How the store reads the names in a query.
enum class query_decoding : std::uint8_t
{
    form,    ///< Escapes, and a plus sign for a blank.
    escapes, ///< Escapes alone.
    none,    ///< Byte by byte.
};

std::optional<query_decoding> read_decoding(std::string_view p_text)
{
    if (p_text == "form")
    {
        return query_decoding::form;
    }
    if (p_text == "escapes")
    {
        return query_decoding::escapes;
    }
    return p_text == "none" ? std::optional(query_decoding::none)
                            : std::nullopt;
}

/// The value of a query's parameter as it was sent.
std::string raw_query_value(std::string_view p_query, std::string_view p_name)
{
    while (!p_query.empty())
    {
        const auto parameter = p_query.substr(0, p_query.find('&'));
        p_query.remove_prefix(std::min(parameter.size() + 1, p_query.size()));
        const auto equals = parameter.find('=');
        if (parameter.substr(0, equals) == p_name &&
            equals != std::string_view::npos)
        {
            return std::string(parameter.substr(equals + 1));
        }
    }
    return {};
}

/// Replaces each escape of two hexadecimal digits by its byte.
std::string decode_escapes(std::string_view p_text)
{
    constexpr int hexadecimal = 16;
    constexpr std::size_t escape_size = 3;
    std::string decoded;
    while (!p_text.empty())
    {
        unsigned byte = 0;
        const char* digits = p_text.data() + 1;
        const bool is_escape =
            p_text.front() == '%' && p_text.size() >= escape_size &&
            std::from_chars(digits, digits + 2, byte, hexadecimal).ptr ==
                digits + 2;
        decoded += is_escape ? static_cast<char>(byte) : p_text.front();
        p_text.remove_prefix(is_escape ? escape_size : 1);
    }
    return decoded;
}

store_response number_error(const std::string& p_field)
{
    return {bad_request, {{"error", p_field + " isn't a whole number"}}};
}

class store_endpoint
{
public:
    explicit store_endpoint(query_decoding p_decoding) : decoding_(p_decoding)
    {
    }

    void serve(int p_port_index, http_exchange& r_exchange)
    {
        const std::string path(r_exchange.path());
        if (path.starts_with(control_path))
        {
            control(path.substr(control_path.size()), r_exchange);
            return;
        }
        const bool writes = r_exchange.method() != "GET";
        const call_faults faults = faults_.next(p_port_index, writes);
        if (!admit(faults.port_state_, r_exchange))
        {
            return;
        }
        std::this_thread::sleep_for(faults.delay_);
        if (!path.starts_with(objects_path))
        {
            reply(r_exchange, {not_found, json::object()});
            return;
        }
        if (writes)
        {
            write(path.substr(objects_path.size()), faults, r_exchange);
            return;
        }
        read(path.substr(objects_path.size()), r_exchange);
    }

private:
    void reply(http_exchange& r_exchange, const store_response& p_response)
    {
        r_exchange.send(p_response.status_, "application/json",
                        p_response.text(),
                        {{WIRE_STORE_ERA, std::to_string(objects_.era())}});
    }

    /// The name after which a page begins, as this store reads it.
    [[nodiscard]] std::string after(http_exchange& r_exchange) const
    {
        if (decoding_ == query_decoding::form)
        {
            return r_exchange.query_value("after");
        }
        const std::string sent = raw_query_value(r_exchange.query(), "after");
        return decoding_ == query_decoding::escapes ? decode_escapes(sent)
                                                    : sent;
    }

    bool admit(port_state p_state, http_exchange& r_exchange)
    {
        switch (p_state)
        {
        case port_state::open:
            return true;
        case port_state::refuses:
            faults_.count("refused", false);
            reply(r_exchange, {unavailable, json::object()});
            return false;
        case port_state::limited:
            faults_.count("refused", false);
            reply(r_exchange, {too_many_requests, json::object()});
            return false;
        case port_state::silent:
            stay_silent(r_exchange);
            break;
        case port_state::resets:
            break;
        }
        r_exchange.close_after_response();
        return false;
    }

    static void stay_silent(http_exchange& r_exchange)
    {
        constexpr auto step = std::chrono::milliseconds(100);
        for (auto left = max_silence;
             left.count() > 0 && !r_exchange.peer_disconnected(); left -= step)
        {
            std::this_thread::sleep_for(step);
        }
    }

    void read(const std::string& p_path, http_exchange& r_exchange)
    {
        const auto slash = p_path.find('/');
        const bool allow_stale = r_exchange.query_value("stale_ok") == "1";
        if (slash != std::string::npos)
        {
            faults_.count("get", allow_stale);
            reply(r_exchange, objects_.get(p_path.substr(0, slash),
                                           p_path.substr(slash + 1)));
            return;
        }
        const std::string since = r_exchange.query_value("watch");
        if (since.empty())
        {
            faults_.count("list", allow_stale);
            reply(r_exchange, objects_.list(p_path, after(r_exchange)));
            return;
        }
        faults_.count("watch", allow_stale);
        const std::string wait = r_exchange.query_value("wait_ms");
        const auto revision = to_number(since);
        const auto wait_ms = wait.empty() ? 0 : to_number(wait);
        if (!revision || !wait_ms)
        {
            reply(r_exchange, number_error(revision ? "wait_ms" : "watch"));
            return;
        }
        const auto limit =
            std::min(max_wait, std::chrono::milliseconds(*wait_ms));
        reply(r_exchange, objects_.watch(p_path, *revision, limit));
    }

    void write(const std::string& p_path, const call_faults& p_faults,
               http_exchange& r_exchange)
    {
        const auto body =
            r_exchange.read_body(max_body_bytes, body_read_timeout);
        object_call call;
        call.method_ = std::string(r_exchange.method());
        call.body_ = body && !body->empty() ? json::parse(*body, nullptr, false)
                                            : json::object();
        if (!body || !call.body_.is_object())
        {
            reply(r_exchange, {bad_request, {{"error", "no JSON object"}}});
            return;
        }
        split(p_path, call);
        const json metadata = call.body_.value("metadata", json::object());
        const std::string asked = r_exchange.query_value("rev");
        if (!asked.empty())
        {
            call.revision_ = to_number(asked);
            if (!call.revision_)
            {
                reply(r_exchange, number_error("rev"));
                return;
            }
        }
        else if (metadata.contains("rev"))
        {
            call.revision_ = metadata["rev"].get<std::uint64_t>();
        }
        faults_.count("write", false);
        std::this_thread::sleep_for(p_faults.effect_delay_);
        const store_response response = apply(call);
        if (p_faults.drops_response_)
        {
            r_exchange.close_after_response();
            return;
        }
        reply(r_exchange, response);
    }

    static void split(const std::string& p_path, object_call& r_call)
    {
        constexpr std::string_view status = "/status";
        const auto slash = p_path.find('/');
        r_call.kind_ = p_path.substr(0, slash);
        if (slash == std::string::npos)
        {
            return;
        }
        r_call.name_ = p_path.substr(slash + 1);
        if (r_call.name_.ends_with(status))
        {
            r_call.on_status_ = true;
            r_call.name_.resize(r_call.name_.size() - status.size());
        }
    }

    store_response apply(const object_call& p_call)
    {
        if (p_call.method_ == "POST")
        {
            return objects_.create(p_call.kind_, p_call.body_);
        }
        if (p_call.method_ == "DELETE")
        {
            return objects_.remove(p_call.kind_, p_call.name_,
                                   p_call.revision_);
        }
        return p_call.on_status_
                   ? objects_.set_status(p_call.kind_, p_call.name_,
                                         p_call.revision_, p_call.body_)
                   : objects_.replace(p_call.kind_, p_call.name_,
                                      p_call.revision_, p_call.body_);
    }

    void control(const std::string& p_what, http_exchange& r_exchange)
    {
        if (p_what == "calls")
        {
            reply(r_exchange, {200, faults_.counts()});
            return;
        }
        if (p_what == "forget")
        {
            objects_.forget_history();
            reply(r_exchange, {200, json::object()});
            return;
        }
        if (p_what == "copy")
        {
            objects_.make_copy();
            reply(r_exchange, {200, json::object()});
            return;
        }
        if (p_what == "restore")
        {
            objects_.restore_copy();
            reply(r_exchange, {200, json::object()});
            return;
        }
        const auto body =
            r_exchange.read_body(max_body_bytes, body_read_timeout);
        if (p_what == "raw" && body)
        {
            reply(r_exchange,
                  objects_.put_raw(r_exchange.query_value("kind"),
                                   r_exchange.query_value("name"), *body));
            return;
        }
        const std::string error =
            body ? faults_.set(json::parse(*body, nullptr, false)) : "no body";
        reply(r_exchange,
              error.empty() ? store_response{200, json::object()}
                            : store_response{bad_request, {{"error", error}}});
    }

    query_decoding decoding_;
    in_memory_store objects_;
    store_faults faults_;
};

} // namespace

int main(int p_count, char** p_arguments)
{
    standin_options options;
    int ports = 0;
    const char* decoding_name = "form";
    parse_standin_options(
        p_count, const_cast<const char**>(p_arguments), options,
        {{"doors", 0, POPT_ARG_INT, &ports, 0,
          "number of additional ports, numbered consecutively from the first",
          "N"},
         {"query-decoding", 0, POPT_ARG_STRING, &decoding_name, 0,
          "how names in queries are read: form, escapes or none", "HOW"}});
    start_logging(log_level::info);
    const auto decoding = read_decoding(decoding_name);
    if (!decoding)
    {
        std::fprintf(stderr,
                     "--query-decoding must be form, escapes or none\n");
        return 2;
    }
    store_endpoint endpoint(*decoding);
    std::list<http_server> more;
    for (int port_index = 1; port_index <= ports; ++port_index)
    {
        more.emplace_back(http_server_options{listen_address(options),
                                              static_cast<std::uint16_t>(
                                                  options.port_ + port_index),
                                              threads_per_port},
                          [&endpoint, port_index](http_exchange& r_exchange)
                          { endpoint.serve(port_index, r_exchange); });
    }
    run_until_stopped(options, threads_per_port,
                      [&](http_exchange& r_exchange)
                      { endpoint.serve(0, r_exchange); });
    return 0;
}
