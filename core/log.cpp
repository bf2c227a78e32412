#include "core/log.hpp"

#include <atomic>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace peridotspar
{

namespace
{

std::atomic<log_level> lowest_level{log_level::info};

bool needs_quotes(std::string_view p_value)
{
    return p_value.empty() ||
           p_value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
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
        r_line += c == '\n' || c == '\r' ? ' ' : c;
    }
    r_line += '"';
}

} // namespace

void start_logging(log_level p_lowest)
{
    lowest_level = p_lowest;
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format,
                         "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} "
                         "level=%level %msg");
    el::Loggers::reconfigureAllLoggers(settings);
}

log_event::log_event(log_level p_level, std::string_view p_event)
    : level_(p_level), line_("event=")
{
    line_ += p_event;
}

log_event::~log_event()
{
    if (level_ < lowest_level.load(std::memory_order_relaxed))
    {
        return;
    }
    switch (level_)
    {
    case log_level::debug:
        LOG(DEBUG) << line_;
        break;
    case log_level::info:
        LOG(INFO) << line_;
        break;
    case log_level::warning:
        LOG(WARNING) << line_;
        break;
    case log_level::error:
        LOG(ERROR) << line_;
        break;
    }
}

log_event& log_event::with(std::string_view p_key, std::string_view p_value)
{
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
