#pragma once

#include "transport/gen/peer_types.h"

#include <optional>
#include <string_view>

namespace peridotspar
{

/// Parses an engine's report of its load. Fields that it lacks are zero; the
/// engine's name is left to the caller. Returns nothing, and writes a log line,
/// if it isn't such a report: its fields may have any type.
[[nodiscard]] std::optional<wire::load_report>
parse_load(std::string_view p_document);

} // namespace peridotspar
