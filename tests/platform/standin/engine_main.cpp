// Stand-in for an engine of the cooperative platform. It answers requests in
// the platform's protocol and times its streams with the batch model in
// standins/.

#include "core/log.hpp"
#include "standins/batch_runner.hpp"
#include "standins/command_line.hpp"
#include "standins/run.hpp"
#include "tests/platform/wire_headers.hpp"

#include <cstdlib>

namespace
{

using namespace peridotspar;

constexpr std::size_t max_body_bytes = 8U << 20U;
constexpr std::chrono::milliseconds body_read_timeout{5000};
constexpr std::uint32_t threads = 420;
constexpr int crash_status = 3;

class engine
{
public:
    /// `p_limit_milli`: thousandths of a request a second that it names as its
    /// limit; 0 for none. `p_crash_text`: a body that contains it ends the
    /// process; empty for none.
    engine(const engine_speed& p_speed, int p_limit_milli,
           std::string p_crash_text)
        : runner_(p_speed),
          limit_milli_(p_limit_milli),
          crash_text_(std::move(p_crash_text))
    {
    }

    void serve(http_exchange& r_exchange)
    {
        const auto body =
            r_exchange.read_body(max_body_bytes, body_read_timeout);
        if (!body)
        {
            r_exchange.send(400, "text/plain", "");
            return;
        }
        if (!crash_text_.empty() &&
            body->find(crash_text_) != std::string::npos)
        {
            std::_Exit(crash_status);
        }
        const std::string id = r_exchange.header(WIRE_ATTEMPT);
        http_headers headers{{WIRE_ATTEMPT, id}, {WIRE_SEAL, "s." + id}};
        if (limit_milli_ > 0)
        {
            headers.emplace_back(WIRE_LIMIT,
                                 std::to_string(limit_milli_ / 1000.0));
        }
        const auto output = output_length(*body);
        if (output == 0)
        {
            r_exchange.send(200, "text/plain", "whole:" + *body, headers);
            return;
        }
        stream(last_event(r_exchange), output, headers, r_exchange);
    }

private:
    /// `out=N` in the body asks for a stream of N events. Returns zero if the
    /// body has none, which asks for a plain response.
    static std::uint32_t output_length(const std::string& p_body)
    {
        const auto at = p_body.find("out=");
        return at == std::string::npos
                   ? 0
                   : static_cast<std::uint32_t>(
                         std::max(1, std::atoi(p_body.c_str() + at + 4)));
    }

    /// Id of the last event that the caller has; zero if it has none.
    static std::uint32_t last_event(const http_exchange& p_exchange)
    {
        const std::string id = p_exchange.header(WIRE_LAST_EVENT);
        return static_cast<std::uint32_t>(std::max(0, std::atoi(id.c_str())));
    }

    /// Sends the events after `p_last` up to `p_events`, whose ids count up
    /// from one.
    void stream(std::uint32_t p_last, std::uint32_t p_events,
                const http_headers& p_headers, http_exchange& r_exchange)
    {
        engine_stream request;
        request.prefill_tokens_left_ = 1;
        request.next_token_ = std::min(p_last, p_events);
        request.end_token_ = p_events;
        const auto id = runner_.add(request);
        bool alive =
            r_exchange.begin_stream(200, "text/event-stream", p_headers);
        std::uint32_t sent = p_last;
        while (alive && sent < p_events)
        {
            for (std::uint32_t more = runner_.take_output(id).tokens_;
                 alive && more > 0; --more)
            {
                ++sent;
                alive = r_exchange.write_stream("id: " + std::to_string(sent) +
                                                "\ndata: token " +
                                                std::to_string(sent) + "\n\n");
            }
        }
        runner_.remove(id);
        if (alive)
        {
            r_exchange.end_stream();
        }
    }

    batch_runner runner_;
    int limit_milli_;
    std::string crash_text_;
};

} // namespace

int main(int p_count, char** p_arguments)
{
    standin_options options;
    int slots = 400;
    int step_us = 1000;
    int limit_milli = 0;
    const char* crash_text = "";
    parse_standin_options(
        p_count, const_cast<const char**>(p_arguments), options,
        {{"slots", 0, POPT_ARG_INT, &slots, 0, "most requests in one batch",
          "N"},
         {"step-us", 0, POPT_ARG_INT, &step_us, 0,
          "duration of an empty batch step in microseconds", "US"},
         {"limit-milli", 0, POPT_ARG_INT, &limit_milli, 0,
          "limit that it names, in requests per 1000 seconds", "N"},
         {"crash-on", 0, POPT_ARG_STRING, &crash_text, 0,
          "end at once on a body that contains TEXT", "TEXT"}});
    start_logging(log_level::info);
    engine_speed speed;
    speed.slots_ = static_cast<std::uint32_t>(slots);
    speed.step_time_ = duration(step_us);
    engine stand_in(speed, limit_milli, crash_text);
    run_until_stopped(options, threads,
                      [&](http_exchange& r_exchange)
                      { stand_in.serve(r_exchange); });
    return 0;
}
