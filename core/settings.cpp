#include "core/settings.hpp"

#include <cstdio>
#include <cstring>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <vector>

#include <arpa/inet.h>
#include <ini.h>

namespace peridotspar
{

namespace
{

/// Stores a value in the settings; the returned text says what is wrong.
using assign =
    std::function<std::optional<std::string>(settings&, const std::string&)>;

struct key_rule
{
    bool required_;
    assign assign_;
};

std::optional<std::uint64_t> parse_number(const std::string& p_text)
{
    if (p_text.empty() ||
        p_text.find_first_not_of("0123456789") != std::string::npos ||
        p_text.size() > 12)
    {
        return std::nullopt;
    }
    return std::stoull(p_text);
}

template <class Field>
assign text_of(Field p_field)
{
    return [p_field](settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        if (p_text.empty())
        {
            return "must not be empty";
        }
        using field_type = std::decay_t<decltype(r_settings.*p_field)>;
        r_settings.*p_field = field_type(p_text);
        return std::nullopt;
    };
}

assign address_of(std::string settings::*p_field)
{
    return [p_field](settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        in_addr parsed{};
        if (inet_pton(AF_INET, p_text.c_str(), &parsed) != 1)
        {
            return "must be an IPv4 number, such as 10.0.0.5";
        }
        r_settings.*p_field = p_text;
        return std::nullopt;
    };
}

template <class Number>
assign number_of(Number settings::*p_field, std::uint64_t p_low,
                 std::uint64_t p_high)
{
    return [=](settings& r_settings,
               const std::string& p_text) -> std::optional<std::string>
    {
        const auto number = parse_number(p_text);
        if (!number || *number < p_low || *number > p_high)
        {
            return "must be a whole number from " + std::to_string(p_low) +
                   " to " + std::to_string(p_high);
        }
        r_settings.*p_field = static_cast<Number>(*number);
        return std::nullopt;
    };
}

/// A duration with its unit, `ms` or `s`.
assign duration_of(std::chrono::milliseconds settings::*p_field)
{
    return [p_field](settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        const auto unit_at = p_text.find_first_not_of("0123456789");
        const auto number = parse_number(p_text.substr(0, unit_at));
        const std::string unit =
            unit_at == std::string::npos ? "" : p_text.substr(unit_at);
        if (!number || *number == 0 || (unit != "ms" && unit != "s"))
        {
            return "must be a duration with its unit, such as 500ms or 2s";
        }
        const auto count = static_cast<std::int64_t>(*number);
        r_settings.*p_field =
            std::chrono::milliseconds(unit == "s" ? count * 1000 : count);
        return std::nullopt;
    };
}

assign secret_of(std::string settings::*p_field)
{
    return [p_field](settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        constexpr std::size_t shortest_secret = 16;
        if (p_text.size() < shortest_secret)
        {
            return "must have 16 characters or more";
        }
        r_settings.*p_field = p_text;
        return std::nullopt;
    };
}

/// IPv4 numbers with commas between them.
assign addresses_of(std::vector<std::string> settings::*p_field)
{
    return [p_field](settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        std::istringstream list(p_text);
        for (std::string item; std::getline(list, item, ',');)
        {
            in_addr parsed{};
            if (inet_pton(AF_INET, item.c_str(), &parsed) != 1)
            {
                return "must be IPv4 numbers with commas between them";
            }
            (r_settings.*p_field).push_back(item);
        }
        return std::nullopt;
    };
}

assign level_of(std::string settings::*p_field)
{
    return [p_field](settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        static const std::set<std::string> levels{"debug", "info", "warning",
                                                  "error"};
        if (!levels.contains(p_text))
        {
            return "must be debug, info, warning or error";
        }
        r_settings.*p_field = p_text;
        return std::nullopt;
    };
}

constexpr std::uint64_t highest_port = 65535;

const std::map<std::string, key_rule>& rules()
{
    using s = settings;
    static const std::map<std::string, key_rule> table{
        {"node.name", {true, text_of(&s::name_)}},
        {"node.failure_domain", {true, text_of(&s::failure_domain_)}},
        {"node.address", {true, address_of(&s::address_)}},
        {"node.http_port", {true, number_of(&s::http_port_, 1, highest_port)}},
        {"node.peer_port", {true, number_of(&s::peer_port_, 1, highest_port)}},
        {"platform.address", {true, address_of(&s::platform_address_)}},
        {"platform.port",
         {true, number_of(&s::platform_port_, 1, highest_port)}},
        {"platform.timeout", {false, duration_of(&s::platform_timeout_)}},
        {"security.node_secret", {true, secret_of(&s::node_secret_)}},
        {"security.bootstrap_key_sha256",
         {false, text_of(&s::bootstrap_key_sha256_)}},
        {"membership.seeds", {false, addresses_of(&s::seeds_)}},
        {"limits.worker_threads",
         {false, number_of(&s::worker_threads_, 4, 4096)}},
        {"limits.body_bytes",
         {false, number_of(&s::body_bytes_, 1024, 64U << 20U)}},
        {"limits.request_read_timeout",
         {false, duration_of(&s::request_read_timeout_)}},
        {"limits.entry_max_age", {false, duration_of(&s::entry_max_age_)}},
        {"log.level", {false, level_of(&s::log_level_)}},
    };
    return table;
}

/// State of one pass over the file; counts lines, as the parser does not.
struct reader
{
    std::FILE* file_ = nullptr;
    std::string path_;
    int line_ = 0;
    settings parsed_;
    std::set<std::string> seen_;
    std::string error_;
};

char* read_line(char* r_line, int p_size, void* p_stream)
{
    auto* state = static_cast<reader*>(p_stream);
    ++state->line_;
    return std::fgets(r_line, p_size, state->file_);
}

std::string at_line(const reader& p_reader)
{
    return p_reader.path_ + ":" + std::to_string(p_reader.line_) + ": ";
}

int take_value(void* p_user, const char* p_section, const char* p_name,
               const char* p_value)
{
    auto* state = static_cast<reader*>(p_user);
    const std::string key = std::string(p_section) + "." + p_name;
    const auto rule = rules().find(key);
    if (rule == rules().end())
    {
        state->error_ = at_line(*state) + key + ": unknown setting";
        return 0;
    }
    if (!state->seen_.insert(key).second)
    {
        state->error_ = at_line(*state) + key + ": is set twice";
        return 0;
    }
    if (const auto problem = rule->second.assign_(state->parsed_, p_value))
    {
        state->error_ = at_line(*state) + key + ": " + *problem;
        return 0;
    }
    return 1;
}

} // namespace

tl::expected<settings, std::string> load_settings(const std::string& p_path)
{
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(
        std::fopen(p_path.c_str(), "r"), &std::fclose);
    if (!file)
    {
        return tl::unexpected(p_path + ": " + std::strerror(errno));
    }
    reader state{file.get(), p_path, 0, {}, {}, {}};
    const int bad_line =
        ini_parse_stream(&read_line, &state, &take_value, &state);
    if (!state.error_.empty())
    {
        return tl::unexpected(state.error_);
    }
    if (bad_line != 0)
    {
        return tl::unexpected(p_path + ":" + std::to_string(bad_line) +
                              ": is not a section, a key=value or a comment");
    }
    for (const auto& [key, rule] : rules())
    {
        if (rule.required_ && !state.seen_.contains(key))
        {
            return tl::unexpected(p_path + ": " + key + ": is missing");
        }
    }
    return state.parsed_;
}

} // namespace peridotspar
