// Stand-in for the platform: object API and VM list, with faults that a script
// sets over HTTP.

#include "core/log.hpp"
#include "standins/command_line.hpp"
#include "standins/object_store.hpp"
#include "standins/run.hpp"
#include "transport/http_server.hpp"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>

#include <nlohmann/json.hpp>

namespace
{

using namespace peridotspar;
using json = nlohmann::json;

constexpr std::size_t max_value_bytes = 1U << 20U;
constexpr std::chrono::milliseconds body_read_timeout{5000};

/// Faults that a script sets through `/control/faults`.
struct fault_settings
{
    bool outage_ = false; ///< Every connection is closed without an answer.
    int slow_ms_ = 0;     ///< Delay of every request.
    /// Number of coming writes that take effect but aren't answered.
    int responses_to_lose_ = 0;
    int writes_per_s_ = 0; ///< Limit on writes; 0: none.
    /// Nodes whose connections are closed without an answer.
    std::set<std::string> cut_nodes_;
};

class platform
{
public:
    void serve(http_exchange& r_exchange)
    {
        const std::string path(r_exchange.path());
        if (path.starts_with("/control/"))
        {
            serve_control(path.substr(9), r_exchange);
            return;
        }
        const bool lose_response = apply_faults(r_exchange);
        if (connection_dropped)
        {
            connection_dropped = false;
            return;
        }
        if (path.starts_with("/v1/objects/"))
        {
            serve_object(path.substr(12), r_exchange, lose_response);
        }
        else if (path == "/v1/objects")
        {
            count_call("list");
            serve_list(r_exchange);
        }
        else if (path.starts_with("/v1/watch/"))
        {
            count_call("watch");
            serve_watch(path.substr(10), r_exchange);
        }
        else if (path == "/v1/vms")
        {
            count_call("vms");
            serve_vms(r_exchange);
        }
        else
        {
            r_exchange.send(404, "application/json", "{}");
        }
    }

private:
    /// Applies an outage, a cut of the calling node or a delay. Sets
    /// `connection_dropped` if the request must not be served. Returns whether
    /// the answer to a write must be lost.
    bool apply_faults(http_exchange& r_exchange)
    {
        std::chrono::milliseconds delay{0};
        bool lose_response = false;
        {
            std::lock_guard lock(mutex_);
            const std::string node = r_exchange.header("X-Node");
            connection_dropped =
                faults_.outage_ || faults_.cut_nodes_.contains(node);
            delay = std::chrono::milliseconds(faults_.slow_ms_);
            if (r_exchange.method() == "PUT" && faults_.responses_to_lose_ > 0)
            {
                --faults_.responses_to_lose_;
                lose_response = true;
            }
        }
        if (connection_dropped)
        {
            count_call("dropped");
            r_exchange.close_after_response();
            return false;
        }
        std::this_thread::sleep_for(delay);
        return lose_response;
    }

    void serve_object(const std::string& p_name, http_exchange& r_exchange,
                      bool p_lose_response)
    {
        if (r_exchange.method() == "GET")
        {
            count_call("get");
            const auto found = objects_.get(p_name);
            if (!found)
            {
                r_exchange.send(404, "application/json", "{\"version\":0}");
                return;
            }
            send_object(*found, r_exchange);
            return;
        }
        const std::string condition = r_exchange.header("If-Version");
        if (condition.empty() ||
            condition.find_first_not_of("0123456789") != std::string::npos)
        {
            r_exchange.send(400, "application/json",
                            "{\"error\":\"If-Version is missing\"}");
            return;
        }
        auto body = r_exchange.read_body(max_value_bytes, body_read_timeout);
        if (!body)
        {
            r_exchange.send(body.error().status_, "application/json", "{}");
            return;
        }
        const bool is_delete = r_exchange.method() == "DELETE";
        count_call(is_delete ? "delete" : "put");
        if (!within_write_rate())
        {
            r_exchange.send(429, "application/json", "{}",
                            {{"Retry-After", "1"}});
            return;
        }
        const std::uint64_t version = std::stoull(condition);
        const auto result = is_delete ? objects_.remove(p_name, version)
                                      : objects_.put(p_name, version, *body);
        if (p_lose_response)
        {
            r_exchange.close_after_response();
            return;
        }
        if (!result.written_)
        {
            count_call("conflict");
        }
        r_exchange.send(result.written_ ? 200 : 409, "application/json",
                        json{{"version", result.version_}}.dump());
    }

    static void send_object(const object_store::object& p_object,
                            http_exchange& r_exchange)
    {
        r_exchange.send(200, "application/octet-stream", p_object.value_,
                        {{"X-Version", std::to_string(p_object.version_)}});
    }

    void serve_list(http_exchange& r_exchange) const
    {
        json list = json::array();
        for (const auto& object :
             objects_.list(r_exchange.query_value("prefix")))
        {
            list.push_back({{"name", object.name_},
                            {"version", object.version_},
                            {"value", object.value_}});
        }
        r_exchange.send(200, "application/json", list.dump());
    }

    void serve_watch(const std::string& p_name, http_exchange& r_exchange)
    {
        const std::string since = r_exchange.query_value("version");
        const std::string wait = r_exchange.query_value("wait_ms");
        const auto end =
            std::chrono::steady_clock::now() +
            std::chrono::milliseconds(wait.empty() ? 1000 : std::stoi(wait));
        while (std::chrono::steady_clock::now() < end)
        {
            const auto found =
                objects_.watch(p_name, since.empty() ? 0 : std::stoull(since),
                               std::chrono::milliseconds(100));
            {
                std::lock_guard lock(mutex_);
                if (faults_.outage_)
                {
                    r_exchange.close_after_response();
                    return;
                }
            }
            if (found)
            {
                send_object(*found, r_exchange);
                return;
            }
        }
        r_exchange.send(204, "application/json", "");
    }

    void serve_vms(http_exchange& r_exchange)
    {
        std::lock_guard lock(mutex_);
        r_exchange.send(200, "application/json", vms_.dump());
    }

    void serve_control(const std::string& p_command, http_exchange& r_exchange)
    {
        if (p_command == "calls")
        {
            std::lock_guard lock(mutex_);
            r_exchange.send(200, "application/json", json(call_counts_).dump());
            return;
        }
        const auto body =
            r_exchange.read_body(max_value_bytes, body_read_timeout);
        const json settings =
            body ? json::parse(*body, nullptr, false) : json();
        if (settings.is_discarded())
        {
            r_exchange.send(400, "application/json", "{}");
            return;
        }
        std::lock_guard lock(mutex_);
        if (p_command == "vms")
        {
            vms_ = settings;
        }
        else
        {
            faults_.outage_ = settings.value("outage", faults_.outage_);
            faults_.slow_ms_ = settings.value("slow_ms", faults_.slow_ms_);
            faults_.responses_to_lose_ =
                settings.value("lose_answers", faults_.responses_to_lose_);
            faults_.writes_per_s_ =
                settings.value("writes_per_s", faults_.writes_per_s_);
            if (settings.contains("cut_nodes"))
            {
                faults_.cut_nodes_ =
                    settings["cut_nodes"].get<std::set<std::string>>();
            }
        }
        r_exchange.send(200, "application/json", "{}");
    }

    bool within_write_rate()
    {
        std::lock_guard lock(mutex_);
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::steady_clock::now().time_since_epoch());
        if (second != write_second_)
        {
            write_second_ = second;
            writes_in_second_ = 0;
        }
        ++writes_in_second_;
        return faults_.writes_per_s_ == 0 ||
               writes_in_second_ <= faults_.writes_per_s_;
    }

    void count_call(const std::string& p_kind)
    {
        std::lock_guard lock(mutex_);
        ++call_counts_[p_kind];
    }

    /// Set by `apply_faults` for the request that the thread serves.
    static thread_local bool connection_dropped;

    object_store objects_;
    std::mutex mutex_;
    fault_settings faults_;
    std::map<std::string, std::uint64_t> call_counts_;
    json vms_ = json::array();
    std::chrono::seconds write_second_{0};
    int writes_in_second_ = 0;
};

thread_local bool platform::connection_dropped = false;

} // namespace

int main(int p_count, char** p_arguments)
{
    standin_options options;
    parse_standin_options(p_count, const_cast<const char**>(p_arguments),
                          options);
    start_logging(log_level::info);
    platform instance;
    run_until_stopped(options, 512,
                      [&](http_exchange& r_exchange)
                      { instance.serve(r_exchange); });
    return 0;
}
