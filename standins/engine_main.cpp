// Stand-in for a model engine: OpenAI-style streams from a continuous batch.

#include "core/log.hpp"
#include "core/text.hpp"
#include "standins/batch_runner.hpp"
#include "standins/command_line.hpp"
#include "standins/run.hpp"
#include "transport/http_server.hpp"

#include <algorithm>
#include <atomic>

#include <nlohmann/json.hpp>

namespace
{

using namespace peridotspar;
using json = nlohmann::json;

constexpr std::size_t largest_body = 8U << 20U;
constexpr std::chrono::milliseconds read_time{5000};
constexpr std::uint32_t usual_output = 32;
constexpr std::size_t bytes_per_token = 4;

class engine
{
public:
    explicit engine(const engine_speed& p_speed) : runner_(p_speed)
    {
        runner_.set_observer(
            [this](std::size_t p_running, std::size_t p_waiting)
            { remember_load(p_running, p_waiting); });
    }

    void serve(http_exchange& r_exchange)
    {
        const std::string path(r_exchange.path());
        if (path == "/v1/chat/completions" || path == "/v1/completions")
        {
            generate(path == "/v1/completions", r_exchange);
        }
        else if (path == "/load")
        {
            report(r_exchange);
        }
        else if (path == "/control/faults")
        {
            control(r_exchange);
        }
        else if (path == "/control/counts")
        {
            const auto generated = runner_.generated();
            const auto running = runner_.running();
            std::lock_guard lock(mutex_);
            r_exchange.send(200, "application/json",
                            json{{"started", started_},
                                 {"cancelled", cancelled_},
                                 {"generated", generated},
                                 {"crashes", crashes_},
                                 {"running", running}}
                                .dump());
        }
        else
        {
            r_exchange.send(404, "application/json", "{}");
        }
    }

private:
    void generate(bool p_plain, http_exchange& r_exchange)
    {
        const auto body = r_exchange.read_body(largest_body, read_time);
        const json wanted = body ? json::parse(*body, nullptr, false) : json();
        if (!wanted.is_object())
        {
            r_exchange.send(400, "application/json", "{}");
            return;
        }
        const std::string prompt =
            p_plain ? wanted.value("prompt", "") : wanted["messages"].dump();
        if (is_down() || crash_on(prompt))
        {
            r_exchange.close_after_response();
            return;
        }
        engine_stream stream;
        stream.priority_ = wanted.value("priority", 0U);
        stream.next_token_ = wanted.value("resume_from", 0U);
        stream.end_token_ = std::min(wanted.value("max_tokens", 1U << 20U),
                                     output_length(prompt));
        stream.prefill_left_ = static_cast<std::uint32_t>(
            prompt.size() / bytes_per_token + 1 + stream.next_token_);
        relay(p_plain, prompt, stream, r_exchange);
    }

    /// `out=N` in the prompt sets the length of the answer.
    static std::uint32_t output_length(const std::string& p_prompt)
    {
        const auto at = p_prompt.find("out=");
        if (at == std::string::npos)
        {
            return usual_output;
        }
        return static_cast<std::uint32_t>(
            std::max(1, std::atoi(p_prompt.c_str() + at + 4)));
    }

    void relay(bool p_plain, const std::string& p_prompt,
               const engine_stream& p_stream, http_exchange& r_exchange)
    {
        count(started_);
        const auto id = runner_.add(p_stream);
        const std::string mark = sha256_hex(p_prompt).substr(0, 8);
        std::uint32_t token = p_stream.next_token_;
        bool alive = r_exchange.begin_stream(200, "text/event-stream");
        while (alive && token < p_stream.end_token_)
        {
            const auto more = runner_.take(id);
            if (more.broken_)
            {
                r_exchange.close_after_response();
                runner_.remove(id);
                return;
            }
            for (std::uint32_t i = 0; i < more.tokens_ && alive; ++i)
            {
                alive = r_exchange.write_stream(
                    event(p_plain, mark, token++, p_stream.end_token_));
            }
            alive =
                alive && (more.tokens_ > 0 || !r_exchange.peer_disconnected());
        }
        runner_.remove(id);
        if (!alive)
        {
            count(cancelled_);
            return;
        }
        r_exchange.write_stream("data: [DONE]\n\n");
        r_exchange.end_stream();
    }

    void count(std::uint64_t& r_counter)
    {
        std::lock_guard lock(mutex_);
        ++r_counter;
    }

    static std::string event(bool p_plain, const std::string& p_mark,
                             std::uint32_t p_token, std::uint32_t p_end)
    {
        const std::string text = p_mark + ":" + std::to_string(p_token) + " ";
        json choice{
            {"index", 0},
            {"finish_reason", p_token + 1 == p_end ? json("stop") : json()}};
        if (p_plain)
        {
            choice["text"] = text;
        }
        else
        {
            choice["delta"] = {{"content", text}};
        }
        return "data: " +
               json{{"id", "cmpl-" + p_mark},
                    {"object",
                     p_plain ? "text_completion" : "chat.completion.chunk"},
                    {"choices", json::array({choice})}}
                   .dump() +
               "\n\n";
    }

    void remember_load(std::size_t p_running, std::size_t p_waiting)
    {
        const auto now = std::chrono::steady_clock::now();
        std::lock_guard lock(mutex_);
        loads_.push_back({now, p_running, p_waiting});
        while (loads_.size() > 1 && now - loads_[1].when_ > report_lag_)
        {
            loads_.pop_front();
        }
    }

    void report(http_exchange& r_exchange)
    {
        const bool idle = runner_.idle();
        std::lock_guard lock(mutex_);
        const load_sample old = loads_.empty() ? load_sample{} : loads_.front();
        r_exchange.send(200, "application/json",
                        json{{"running", idle ? 0 : old.running_},
                             {"waiting", idle ? 0 : old.waiting_},
                             {"age_ms", report_lag_.count()}}
                            .dump());
    }

    bool is_down()
    {
        std::lock_guard lock(mutex_);
        return std::chrono::steady_clock::now() < down_until_;
    }

    bool crash_on(const std::string& p_prompt)
    {
        {
            std::lock_guard lock(mutex_);
            if (poison_.empty() || p_prompt.find(poison_) == std::string::npos)
            {
                return false;
            }
        }
        crash();
        return true;
    }

    /// Breaks every stream and takes no new one for a while. The runner calls
    /// back into this class, so it isn't called under the lock.
    void crash()
    {
        {
            std::lock_guard lock(mutex_);
            ++crashes_;
            down_until_ = std::chrono::steady_clock::now() + restart_time_;
        }
        runner_.break_all();
    }

    void control(http_exchange& r_exchange)
    {
        const auto body = r_exchange.read_body(largest_body, read_time);
        const json wanted = body ? json::parse(*body, nullptr, false) : json();
        if (!wanted.is_object())
        {
            r_exchange.send(400, "application/json", "{}");
            return;
        }
        if (wanted.contains("slowdown"))
        {
            runner_.set_slowdown(wanted["slowdown"].get<double>());
        }
        set(wanted);
        if (wanted.value("crash", false))
        {
            crash();
        }
        r_exchange.send(200, "application/json", "{}");
    }

    void set(const json& p_wanted)
    {
        std::lock_guard lock(mutex_);
        poison_ = p_wanted.value("poison", poison_);
        report_lag_ = std::chrono::milliseconds(
            p_wanted.value("report_lag_ms", report_lag_.count()));
        restart_time_ = std::chrono::milliseconds(
            p_wanted.value("restart_ms", restart_time_.count()));
    }

    struct load_sample
    {
        std::chrono::steady_clock::time_point when_;
        std::size_t running_ = 0;
        std::size_t waiting_ = 0;
    };

    std::mutex mutex_;
    std::deque<load_sample> loads_;
    std::chrono::milliseconds report_lag_{1000};
    std::chrono::milliseconds restart_time_{1500};
    std::chrono::steady_clock::time_point down_until_;
    std::string poison_;
    std::uint64_t started_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t crashes_ = 0;
    batch_runner runner_; ///< Last: its thread uses the rest.
};

} // namespace

int main(int p_count, char** p_arguments)
{
    standin_options options;
    int slots = 8;
    int step_us = 8000;
    parse_standin(p_count, const_cast<const char**>(p_arguments), options,
                  {{"slots", 0, POPT_ARG_INT, &slots, 0, "batch limit", "N"},
                   {"step-us", 0, POPT_ARG_INT, &step_us, 0,
                    "time of an empty step in microseconds", "US"}});
    start_logging(log_level::info);
    engine_speed speed;
    speed.slots_ = static_cast<std::uint32_t>(slots);
    speed.step_ = duration(step_us);
    engine served(speed);
    run_until_stopped(options, 400,
                      [&](http_exchange& r_exchange)
                      { served.serve(r_exchange); });
    return 0;
}
