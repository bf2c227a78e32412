#include "core/log.hpp"

#include "core/bounded_queue.hpp"
#include "core/clock.hpp"
#include "core/log_rate_limiter.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <thread>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t max_queued_lines = 4096;
constexpr duration writer_poll_interval = 200ms;
constexpr unsigned max_lines_per_event_per_second = 200;

std::atomic<log_level> min_level{log_level::info};

struct log_line
{
    log_level level_ = log_level::info;
    std::string text_;
};

std::string_view name_of(log_level p_level)
{
    switch (p_level)
    {
    case log_level::debug:
        return "DEBUG";
    case log_level::info:
        return "INFO";
    case log_level::warning:
        return "WARNING";
    case log_level::error:
        return "ERROR";
    }
    return "ERROR";
}

void write_line(const log_line& p_line)
{
    switch (p_line.level_)
    {
    case log_level::debug:
        LOG(DEBUG) << p_line.text_;
        break;
    case log_level::info:
        LOG(INFO) << p_line.text_;
        break;
    case log_level::warning:
        LOG(WARNING) << p_line.text_;
        break;
    case log_level::error:
        LOG(ERROR) << p_line.text_;
        break;
    }
}

/// Writes log lines in a thread of its own, so that no other thread blocks when
/// the reader of the output stops reading.
class log_writer
{
public:
    log_writer() : lines_(max_queued_lines), thread_([this] { run(); }) {}
    ~log_writer()
    {
        lines_.close();
        thread_.join();
    }
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    void add(log_line p_line)
    {
        if (!lines_.try_push(std::move(p_line)))
        {
            ++dropped_;
        }
    }
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    void run()
    {
        while (true)
        {
            const auto line = lines_.pop(writer_poll_interval);
            if (line)
            {
                write_line(*line);
            }
            else if (lines_.is_closed())
            {
                return;
            }
        }
    }

    bounded_queue<log_line> lines_;
    std::atomic<std::uint64_t> dropped_{0};
    std::thread thread_;
};

std::unique_ptr<log_writer> writer;

log_rate_limiter& rate_limiter()
{
    static log_rate_limiter shared(max_lines_per_event_per_second);
    return shared;
}

std::string line_prefix(log_level p_level)
{
    const auto now = unix_ms();
    const std::time_t seconds = now / 1000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(),
                  "time=%04d-%02d-%02dT%02d:%02d:%02d.%03d level=",
                  utc.tm_year + 1900, utc.tm_mon + 1, utc.tm_mday, utc.tm_hour,
                  utc.tm_min, utc.tm_sec, static_cast<int>(now % 1000));
    std::string prefix(text.data());
    prefix += name_of(p_level);
    prefix += ' ';
    return prefix;
}

/// Characters that end a line or drive a terminal.
bool is_control(char p_character)
{
    constexpr unsigned char space = 0x20;
    constexpr unsigned char del = 0x7f;
    const auto code = static_cast<unsigned char>(p_character);
    return code < space || code == del;
}

bool needs_quotes(std::string_view p_value)
{
    return p_value.empty() ||
           p_value.find_first_of(" \"=") != std::string_view::npos ||
           std::any_of(p_value.begin(), p_value.end(), is_control);
}

void append_quoted(std::string& r_line, std::string_view p_value)
{
    r_line += '"';
    for (const char c : p_value)
    {
        if (c == '"' || c == '\\')
        {
            r_line += '\\';
        }
        r_line += is_control(c) ? ' ' : c;
    }
    r_line += '"';
}

void write_or_queue(log_line p_line)
{
    if (writer)
    {
        writer->add(std::move(p_line));
        return;
    }
    write_line(p_line);
}

} // namespace

void start_logging(log_level p_min_level)
{
    min_level = p_min_level;
    el::Configurations config;
    config.setToDefault();
    config.setGlobally(el::ConfigurationType::ToFile, "false");
    config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    config.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureAllLoggers(config);
    writer = std::make_unique<log_writer>();
    std::atexit([] { writer.reset(); });
}

std::uint64_t dropped_log_lines()
{
    return writer ? writer->dropped() : 0;
}

log_event::log_event(log_level p_level, std::string_view p_event)
    : level_(p_level), event_(p_event)
{
    if (level_ >= min_level.load(std::memory_order_relaxed))
    {
        line_ = line_prefix(level_) + "event=" + event_;
        is_enabled_ = true;
    }
}

log_event::~log_event()
{
    if (!is_enabled_)
    {
        return;
    }
    const auto decision = rate_limiter().try_acquire(event_, unix_ms() / 1000);
    if (decision.left_out_ > 0)
    {
        write_or_queue({log_level::warning,
                        line_prefix(log_level::warning) +
                            "event=log.left_out kind=" + event_ +
                            " lines=" + std::to_string(decision.left_out_)});
    }
    if (decision.is_allowed_)
    {
        write_or_queue({level_, std::move(line_)});
    }
}

log_event& log_event::with(std::string_view p_key, std::string_view p_value)
{
    if (!is_enabled_)
    {
        return *this;
    }
    line_ += ' ';
    line_ += p_key;
    line_ += '=';
    if (needs_quotes(p_value))
    {
        append_quoted(line_, p_value);
    }
    else
    {
        line_ += p_value;
    }
    return *this;
}

} // namespace peridotspar
