// Stand-in for a backend server other than an engine: it answers every request
// and counts the executions of each idempotency key. `/control/runs` returns
// the counts; the query parameter `delay_ms` delays an answer.

#include "core/log.hpp"
#include "standins/command_line.hpp"
#include "standins/run.hpp"
#include "transport/http_server.hpp"

#include <map>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

namespace
{

using namespace peridotspar;
using json = nlohmann::json;

constexpr std::size_t max_body_bytes = 8U << 20U;
constexpr std::chrono::milliseconds body_read_timeout{5000};

class service
{
public:
    void serve(http_exchange& r_exchange)
    {
        const std::string path(r_exchange.path());
        if (path == "/control/runs")
        {
            std::lock_guard lock(mutex_);
            r_exchange.send(200, "application/json", json(runs_by_key_).dump());
            return;
        }
        const auto body =
            r_exchange.read_body(max_body_bytes, body_read_timeout);
        if (!body)
        {
            r_exchange.send(body.error().status_, "application/json", "{}");
            return;
        }
        const std::string key = r_exchange.header("Idempotency-Key");
        int run = 0;
        if (!key.empty())
        {
            std::lock_guard lock(mutex_);
            run = ++runs_by_key_[key];
        }
        const std::string delay = r_exchange.query_value("delay_ms");
        std::this_thread::sleep_for(std::chrono::milliseconds(
            delay.empty() ? 1 : std::atoi(delay.c_str())));
        r_exchange.send(200, "application/json",
                        json{{"path", path},
                             {"method", std::string(r_exchange.method())},
                             {"key", key},
                             {"run", run},
                             {"bytes", body->size()}}
                            .dump());
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> runs_by_key_;
};

} // namespace

int main(int p_count, char** p_arguments)
{
    standin_options options;
    parse_standin_options(p_count, const_cast<const char**>(p_arguments),
                          options);
    start_logging(log_level::info);
    service instance;
    run_until_stopped(options, 128,
                      [&](http_exchange& r_exchange)
                      { instance.serve(r_exchange); });
    return 0;
}
