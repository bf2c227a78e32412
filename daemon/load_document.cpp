#include "daemon/load_document.hpp"

#include "core/log.hpp"

#include <nlohmann/json.hpp>

namespace peridotspar
{

std::optional<wire::load_report> parse_load(std::string_view p_document)
{
    using json = nlohmann::json;
    try
    {
        const json document = json::parse(p_document);
        wire::load_report report;
        report.running = document.value("running", 0);
        report.waiting = document.value("waiting", 0);
        report.age_ms = document.value("age_ms", 0);
        return report;
    }
    catch (const json::exception& error)
    {
        log_event(log_level::warning, "engine.load_unreadable")
            .with("error", error.what());
        return std::nullopt;
    }
}

} // namespace peridotspar
