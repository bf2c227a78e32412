// Stand-in for a model engine: serves streamed completions in the format of the
// OpenAI API from a simulated continuous batch, and injects faults on request.

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

constexpr std::size_t max_body_bytes = 8U << 20U;
constexpr std::chrono::milliseconds body_read_timeout{5000};
constexpr std::uint32_t default_output_tokens = 32;
/// Estimate for the number of prompt tokens.
constexpr std::size_t bytes_per_token = 4;

class engine
{
public:
    explicit engine(const engine_speed& p_speed) : runner_(p_speed)
    {
        runner_.set_load_observer(
            [this](std::size_t p_running, std::size_t p_waiting)
            { record_load(p_running, p_waiting); });
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
            send_load(r_exchange);
        }
        else if (path == "/control/faults")
        {
            serve_faults(r_exchange);
        }
        else if (path == "/control/counts")
        {
            const auto generated = runner_.generated_tokens();
            const auto running = runner_.running();
            std::lock_guard lock(mutex_);
            r_exchange.send(200, "application/json",
                            json{{"started", started_streams_},
                                 {"cancelled", cancelled_streams_},
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
    void generate(bool p_text_completion, http_exchange& r_exchange)
    {
        const auto body =
            r_exchange.read_body(max_body_bytes, body_read_timeout);
        const json parameters =
            body ? json::parse(*body, nullptr, false) : json();
        if (!parameters.is_object())
        {
            r_exchange.send(400, "application/json", "{}");
            return;
        }
        const std::string prompt = p_text_completion
                                       ? parameters.value("prompt", "")
                                       : parameters["messages"].dump();
        if (is_down() || crash_if_poisoned(prompt))
        {
            r_exchange.close_after_response();
            return;
        }
        engine_stream stream;
        stream.priority_ = parameters.value("priority", 0U);
        stream.next_token_ = parameters.value("resume_from", 0U);
        stream.end_token_ = std::min(parameters.value("max_tokens", 1U << 20U),
                                     output_tokens(prompt));
        stream.prefill_tokens_left_ = static_cast<std::uint32_t>(
            prompt.size() / bytes_per_token + 1 + stream.next_token_);
        stream_tokens(p_text_completion, prompt, stream, r_exchange);
    }

    /// Number of output tokens: `out=N` in the prompt or the default.
    static std::uint32_t output_tokens(const std::string& p_prompt)
    {
        const auto position = p_prompt.find("out=");
        if (position == std::string::npos)
        {
            return default_output_tokens;
        }
        return static_cast<std::uint32_t>(
            std::max(1, std::atoi(p_prompt.c_str() + position + 4)));
    }

    void stream_tokens(bool p_text_completion, const std::string& p_prompt,
                       const engine_stream& p_stream, http_exchange& r_exchange)
    {
        increment(started_streams_);
        const auto id = runner_.add(p_stream);
        const std::string prompt_hash = sha256_hex(p_prompt).substr(0, 8);
        std::uint32_t token = p_stream.next_token_;
        bool alive = r_exchange.begin_stream(200, "text/event-stream");
        while (alive && token < p_stream.end_token_)
        {
            const auto output = runner_.take_output(id);
            if (output.failed_)
            {
                r_exchange.close_after_response();
                runner_.remove(id);
                return;
            }
            for (std::uint32_t i = 0; i < output.tokens_ && alive; ++i)
            {
                alive = r_exchange.write_stream(
                    token_event(p_text_completion, prompt_hash, token++,
                                p_stream.end_token_));
            }
            alive = alive &&
                    (output.tokens_ > 0 || !r_exchange.peer_disconnected());
        }
        runner_.remove(id);
        if (!alive)
        {
            increment(cancelled_streams_);
            return;
        }
        r_exchange.write_stream("data: [DONE]\n\n");
        r_exchange.end_stream();
    }

    void increment(std::uint64_t& r_counter)
    {
        std::lock_guard lock(mutex_);
        ++r_counter;
    }

    static std::string token_event(bool p_text_completion,
                                   const std::string& p_prompt_hash,
                                   std::uint32_t p_token, std::uint32_t p_end)
    {
        const std::string text =
            p_prompt_hash + ":" + std::to_string(p_token) + " ";
        json choice{
            {"index", 0},
            {"finish_reason", p_token + 1 == p_end ? json("stop") : json()}};
        if (p_text_completion)
        {
            choice["text"] = text;
        }
        else
        {
            choice["delta"] = {{"content", text}};
        }
        return "data: " +
               json{{"id", "cmpl-" + p_prompt_hash},
                    {"object", p_text_completion ? "text_completion"
                                                 : "chat.completion.chunk"},
                    {"choices", json::array({choice})}}
                   .dump() +
               "\n\n";
    }

    void record_load(std::size_t p_running, std::size_t p_waiting)
    {
        const auto now = std::chrono::steady_clock::now();
        std::lock_guard lock(mutex_);
        loads_.push_back({now, p_running, p_waiting});
        while (loads_.size() > 1 && now - loads_[1].time_ > report_lag_)
        {
            loads_.pop_front();
        }
    }

    void send_load(http_exchange& r_exchange)
    {
        const bool idle = runner_.idle();
        std::lock_guard lock(mutex_);
        const load_observation oldest =
            loads_.empty() ? load_observation{} : loads_.front();
        r_exchange.send(200, "application/json",
                        json{{"running", idle ? 0 : oldest.running_},
                             {"waiting", idle ? 0 : oldest.waiting_},
                             {"age_ms", report_lag_.count()}}
                            .dump());
    }

    bool is_down()
    {
        std::lock_guard lock(mutex_);
        return std::chrono::steady_clock::now() < down_until_;
    }

    bool crash_if_poisoned(const std::string& p_prompt)
    {
        {
            std::lock_guard lock(mutex_);
            if (poison_text_.empty() ||
                p_prompt.find(poison_text_) == std::string::npos)
            {
                return false;
            }
        }
        crash();
        return true;
    }

    /// Fails all streams and accepts no new ones until the restart time is
    /// over. The runner calls the load observer, which takes `mutex_`, under
    /// its own lock; to avoid a deadlock it is called here without holding
    /// `mutex_`.
    void crash()
    {
        {
            std::lock_guard lock(mutex_);
            ++crashes_;
            down_until_ = std::chrono::steady_clock::now() + restart_time_;
        }
        runner_.fail_all();
    }

    void serve_faults(http_exchange& r_exchange)
    {
        const auto body =
            r_exchange.read_body(max_body_bytes, body_read_timeout);
        const json parameters =
            body ? json::parse(*body, nullptr, false) : json();
        if (!parameters.is_object())
        {
            r_exchange.send(400, "application/json", "{}");
            return;
        }
        if (parameters.contains("slowdown"))
        {
            runner_.set_slowdown(parameters["slowdown"].get<double>());
        }
        set_faults(parameters);
        if (parameters.value("crash", false))
        {
            crash();
        }
        r_exchange.send(200, "application/json", "{}");
    }

    void set_faults(const json& p_parameters)
    {
        std::lock_guard lock(mutex_);
        poison_text_ = p_parameters.value("poison", poison_text_);
        report_lag_ = std::chrono::milliseconds(
            p_parameters.value("report_lag_ms", report_lag_.count()));
        restart_time_ = std::chrono::milliseconds(
            p_parameters.value("restart_ms", restart_time_.count()));
    }

    struct load_observation
    {
        std::chrono::steady_clock::time_point time_;
        std::size_t running_ = 0;
        std::size_t waiting_ = 0;
    };

    std::mutex mutex_;
    std::deque<load_observation> loads_;
    std::chrono::milliseconds report_lag_{1000};
    std::chrono::milliseconds restart_time_{1500};
    std::chrono::steady_clock::time_point down_until_;
    std::string poison_text_;
    std::uint64_t started_streams_ = 0;
    std::uint64_t cancelled_streams_ = 0;
    std::uint64_t crashes_ = 0;
    batch_runner runner_; ///< Declared last: its thread uses the others.
};

} // namespace

int main(int p_count, char** p_arguments)
{
    standin_options options;
    int slots = 8;
    int step_us = 8000;
    parse_standin_options(
        p_count, const_cast<const char**>(p_arguments), options,
        {{"slots", 0, POPT_ARG_INT, &slots, 0, "most streams in one batch",
          "N"},
         {"step-us", 0, POPT_ARG_INT, &step_us, 0,
          "duration of an empty step in microseconds", "US"}});
    start_logging(log_level::info);
    engine_speed speed;
    speed.slots_ = static_cast<std::uint32_t>(slots);
    speed.step_time_ = duration(step_us);
    engine instance(speed);
    run_until_stopped(options, 400,
                      [&](http_exchange& r_exchange)
                      { instance.serve(r_exchange); });
    return 0;
}
