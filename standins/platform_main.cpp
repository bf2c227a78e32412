// Stand-in for the platform: object API and VM list, with faults by script.

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

constexpr std::size_t largest_value = 1U << 20U;
constexpr std::chrono::milliseconds read_time{5000};

/// What the script of faults sets.
struct faults
{
    bool outage_ = false;
    int slow_ms_ = 0;
    int lose_answers_ = 0; ///< Writes that take effect but aren't answered.
    int writes_per_s_ = 0; ///< 0: no limit.
    std::set<std::string> cut_nodes_;
};

struct counters
{
    std::map<std::string, std::uint64_t> calls_;
};

class platform
{
public:
    void serve(http_exchange& r_exchange)
    {
        const std::string path(r_exchange.path());
        if (path.starts_with("/control/"))
        {
            control(path.substr(9), r_exchange);
            return;
        }
        const bool lose = take_fault(r_exchange);
        if (dropped)
        {
            dropped = false;
            return;
        }
        if (path.starts_with("/v1/objects/"))
        {
            serve_object(path.substr(12), r_exchange, lose);
        }
        else if (path == "/v1/objects")
        {
            count("list");
            serve_list(r_exchange);
        }
        else if (path.starts_with("/v1/watch/"))
        {
            count("watch");
            serve_watch(path.substr(10), r_exchange);
        }
        else if (path == "/v1/vms")
        {
            count("vms");
            serve_vms(r_exchange);
        }
        else
        {
            r_exchange.send(404, "application/json", "{}");
        }
    }

private:
    /// Applies outage, cut and slowness; whether to lose a write's answer.
    bool take_fault(http_exchange& r_exchange)
    {
        std::chrono::milliseconds pause{0};
        bool lose = false;
        {
            std::lock_guard lock(mutex_);
            const std::string node = r_exchange.header("X-Node");
            dropped = faults_.outage_ || faults_.cut_nodes_.contains(node);
            pause = std::chrono::milliseconds(faults_.slow_ms_);
            if (r_exchange.method() == "PUT" && faults_.lose_answers_ > 0)
            {
                --faults_.lose_answers_;
                lose = true;
            }
        }
        if (dropped)
        {
            count("dropped");
            r_exchange.close_after_response();
            return false;
        }
        std::this_thread::sleep_for(pause);
        return lose;
    }

    void serve_object(const std::string& p_name, http_exchange& r_exchange,
                      bool p_lose)
    {
        if (r_exchange.method() == "GET")
        {
            count("get");
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
        auto body = r_exchange.read_body(largest_value, read_time);
        if (!body)
        {
            r_exchange.send(body.error().status_, "application/json", "{}");
            return;
        }
        const bool removes = r_exchange.method() == "DELETE";
        count(removes ? "delete" : "put");
        if (!within_write_rate())
        {
            r_exchange.send(429, "application/json", "{}",
                            {{"Retry-After", "1"}});
            return;
        }
        const std::uint64_t version = std::stoull(condition);
        const auto result = removes ? objects_.remove(p_name, version)
                                    : objects_.put(p_name, version, *body);
        if (p_lose)
        {
            r_exchange.close_after_response();
            return;
        }
        if (!result.written_)
        {
            count("conflict");
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
        for (const auto& item : objects_.list(r_exchange.query_value("prefix")))
        {
            list.push_back({{"name", item.name_},
                            {"version", item.version_},
                            {"value", item.value_}});
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

    void control(const std::string& p_what, http_exchange& r_exchange)
    {
        if (p_what == "calls")
        {
            std::lock_guard lock(mutex_);
            r_exchange.send(200, "application/json", json(calls_).dump());
            return;
        }
        const auto body = r_exchange.read_body(largest_value, read_time);
        const json wanted = body ? json::parse(*body, nullptr, false) : json();
        if (wanted.is_discarded())
        {
            r_exchange.send(400, "application/json", "{}");
            return;
        }
        std::lock_guard lock(mutex_);
        if (p_what == "vms")
        {
            vms_ = wanted;
        }
        else
        {
            faults_.outage_ = wanted.value("outage", faults_.outage_);
            faults_.slow_ms_ = wanted.value("slow_ms", faults_.slow_ms_);
            faults_.lose_answers_ =
                wanted.value("lose_answers", faults_.lose_answers_);
            faults_.writes_per_s_ =
                wanted.value("writes_per_s", faults_.writes_per_s_);
            if (wanted.contains("cut_nodes"))
            {
                faults_.cut_nodes_ =
                    wanted["cut_nodes"].get<std::set<std::string>>();
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
            writes_ = 0;
        }
        ++writes_;
        return faults_.writes_per_s_ == 0 || writes_ <= faults_.writes_per_s_;
    }

    void count(const std::string& p_kind)
    {
        std::lock_guard lock(mutex_);
        ++calls_[p_kind];
    }

    static thread_local bool dropped;

    object_store objects_;
    std::mutex mutex_;
    faults faults_;
    std::map<std::string, std::uint64_t> calls_;
    json vms_ = json::array();
    std::chrono::seconds write_second_{0};
    int writes_ = 0;
};

thread_local bool platform::dropped = false;

} // namespace

int main(int p_count, char** p_arguments)
{
    standin_options options;
    parse_standin(p_count, const_cast<const char**>(p_arguments), options);
    start_logging(log_level::info);
    platform served;
    run_until_stopped(options, 512,
                      [&](http_exchange& r_exchange)
                      { served.serve(r_exchange); });
    return 0;
}
