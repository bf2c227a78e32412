#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <ini.h>
#include <tl/expected.hpp>

/// Reads and validates INI files against a table of rules, one per key. The
/// functions named `*_parser` return the rule for a type of value.
namespace peridotspar::setting_rules
{

/// Parses a value and stores it in the settings. Returns an error message if
/// the value is invalid.
template <class Settings>
using value_parser =
    std::function<std::optional<std::string>(Settings&, const std::string&)>;

template <class Settings>
struct key_rule
{
    bool required_; ///< Whether the file must set the key.
    value_parser<Settings> parse_;
};

template <class Settings>
using rule_table = std::map<std::string, key_rule<Settings>>;

/// Parses an unsigned decimal integer of at most 12 digits.
[[nodiscard]] inline std::optional<std::uint64_t>
parse_number(const std::string& p_text)
{
    constexpr std::size_t max_digits = 12;
    if (p_text.empty() ||
        p_text.find_first_not_of("0123456789") != std::string::npos ||
        p_text.size() > max_digits)
    {
        return std::nullopt;
    }
    return std::stoull(p_text);
}

[[nodiscard]] inline bool is_ipv4_address(const std::string& p_text)
{
    in_addr parsed{};
    return inet_pton(AF_INET, p_text.c_str(), &parsed) == 1;
}

template <class Settings, class Field>
value_parser<Settings> string_parser(Field Settings::*p_field)
{
    return [p_field](Settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        if (p_text.empty())
        {
            return "must not be empty";
        }
        r_settings.*p_field = Field(p_text);
        return std::nullopt;
    };
}

template <class Settings>
value_parser<Settings> ipv4_parser(std::string Settings::*p_field)
{
    return [p_field](Settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        if (!is_ipv4_address(p_text))
        {
            return "must be an IPv4 address, such as 10.0.0.5";
        }
        r_settings.*p_field = p_text;
        return std::nullopt;
    };
}

template <class Settings, class Number>
value_parser<Settings> integer_parser(Number Settings::*p_field,
                                      std::uint64_t p_min, std::uint64_t p_max)
{
    return [=](Settings& r_settings,
               const std::string& p_text) -> std::optional<std::string>
    {
        const auto number = parse_number(p_text);
        if (!number || *number < p_min || *number > p_max)
        {
            return "must be an integer from " + std::to_string(p_min) + " to " +
                   std::to_string(p_max);
        }
        r_settings.*p_field = static_cast<Number>(*number);
        return std::nullopt;
    };
}

/// A positive duration with a unit, `ms` or `s`.
template <class Settings>
value_parser<Settings>
duration_parser(std::chrono::milliseconds Settings::*p_field)
{
    return [p_field](Settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        const auto unit_position = p_text.find_first_not_of("0123456789");
        const auto number = parse_number(p_text.substr(0, unit_position));
        const std::string unit = unit_position == std::string::npos
                                     ? ""
                                     : p_text.substr(unit_position);
        if (!number || *number == 0 || (unit != "ms" && unit != "s"))
        {
            return "must be a duration with a unit, such as 500ms or 2s";
        }
        const auto count = static_cast<std::int64_t>(*number);
        r_settings.*p_field =
            std::chrono::milliseconds(unit == "s" ? count * 1000 : count);
        return std::nullopt;
    };
}

template <class Settings>
value_parser<Settings> secret_parser(std::string Settings::*p_field)
{
    return [p_field](Settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        constexpr std::size_t min_secret_length = 16;
        if (p_text.size() < min_secret_length)
        {
            return "must have at least 16 characters";
        }
        r_settings.*p_field = p_text;
        return std::nullopt;
    };
}

/// Splits a comma-separated list. An empty text has no items.
[[nodiscard]] inline std::vector<std::string>
split_list(const std::string& p_text)
{
    std::vector<std::string> items;
    std::istringstream list(p_text);
    for (std::string item; std::getline(list, item, ',');)
    {
        items.push_back(item);
    }
    return items;
}

/// A comma-separated list of IPv4 addresses.
template <class Settings>
value_parser<Settings>
ipv4_list_parser(std::vector<std::string> Settings::*p_field)
{
    return [p_field](Settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        for (const std::string& item : split_list(p_text))
        {
            if (!is_ipv4_address(item))
            {
                return "must be a comma-separated list of IPv4 addresses";
            }
            (r_settings.*p_field).push_back(item);
        }
        return std::nullopt;
    };
}

/// Whether a text is an IPv4 address and a port, as IP:PORT.
[[nodiscard]] inline bool is_endpoint(const std::string& p_text)
{
    constexpr std::uint64_t max_port = 65535;
    const auto colon = p_text.rfind(':');
    if (colon == std::string::npos || !is_ipv4_address(p_text.substr(0, colon)))
    {
        return false;
    }
    const auto port = parse_number(p_text.substr(colon + 1));
    return port && *port >= 1 && *port <= max_port;
}

/// An IPv4 address and a port, as IP:PORT.
template <class Settings>
value_parser<Settings> endpoint_parser(std::string Settings::*p_field)
{
    return [p_field](Settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        if (!is_endpoint(p_text))
        {
            return "must be IP:PORT, such as 10.0.0.5:8080";
        }
        r_settings.*p_field = p_text;
        return std::nullopt;
    };
}

/// A comma-separated list of IP:PORT, which may be empty.
template <class Settings>
value_parser<Settings>
endpoint_list_parser(std::vector<std::string> Settings::*p_field)
{
    return [p_field](Settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        for (const std::string& item : split_list(p_text))
        {
            if (!is_endpoint(item))
            {
                return "must be a comma-separated list of IP:PORT";
            }
            (r_settings.*p_field).push_back(item);
        }
        return std::nullopt;
    };
}

/// `true` or `false`.
template <class Settings>
value_parser<Settings> bool_parser(bool Settings::*p_field)
{
    return [p_field](Settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        if (p_text != "true" && p_text != "false")
        {
            return "must be true or false";
        }
        r_settings.*p_field = p_text == "true";
        return std::nullopt;
    };
}

/// A decimal number from 0 to `p_max`.
template <class Settings>
value_parser<Settings> decimal_parser(double Settings::*p_field, double p_max)
{
    return [=](Settings& r_settings,
               const std::string& p_text) -> std::optional<std::string>
    {
        char* end = nullptr;
        const double number = std::strtod(p_text.c_str(), &end);
        if (p_text.empty() || *end != 0 || !(number >= 0) || number > p_max)
        {
            return "must be a number from 0 to " + std::to_string(p_max);
        }
        r_settings.*p_field = number;
        return std::nullopt;
    };
}

/// Accepts an empty value, and one that is still a placeholder of a template,
/// as a setting that isn't set: a deployment may have no value for it.
template <class Settings>
value_parser<Settings> optional_parser(value_parser<Settings> p_parse)
{
    return [p_parse](Settings& r_settings,
                     const std::string& p_text) -> std::optional<std::string>
    {
        if (p_text.empty() || p_text.starts_with("{{"))
        {
            return std::nullopt;
        }
        return p_parse(r_settings, p_text);
    };
}

/// A positive decimal number of units of `p_ms_per_unit` milliseconds, which
/// the key's name tells.
template <class Settings>
value_parser<Settings>
duration_number_parser(std::chrono::milliseconds Settings::*p_field,
                       double p_ms_per_unit)
{
    return [=](Settings& r_settings,
               const std::string& p_text) -> std::optional<std::string>
    {
        constexpr double max_ms = 86'400'000;
        char* end = nullptr;
        const double ms = std::strtod(p_text.c_str(), &end) * p_ms_per_unit;
        if (*end != 0 || !(ms >= 1) || ms > max_ms)
        {
            return "must be a positive number without a unit, of at most one "
                   "day";
        }
        r_settings.*p_field =
            std::chrono::milliseconds(static_cast<std::int64_t>(ms));
        return std::nullopt;
    };
}

/// The words, separated by commas.
[[nodiscard]] inline std::string join(const std::set<std::string>& p_words)
{
    std::string text;
    for (const std::string& word : p_words)
    {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

/// A comma-separated list of words, each one of `p_allowed`.
template <class Settings>
value_parser<Settings>
word_list_parser(std::vector<std::string> Settings::*p_field,
                 const std::set<std::string>& p_allowed)
{
    return [=](Settings& r_settings,
               const std::string& p_text) -> std::optional<std::string>
    {
        for (const std::string& item : split_list(p_text))
        {
            if (!p_allowed.contains(item))
            {
                return "must be a comma-separated list of: " + join(p_allowed);
            }
            (r_settings.*p_field).push_back(item);
        }
        return std::nullopt;
    };
}

/// One of the words `p_allowed`.
template <class Settings>
value_parser<Settings> word_parser(std::string Settings::*p_field,
                                   const std::set<std::string>& p_allowed)
{
    return [=](Settings& r_settings,
               const std::string& p_text) -> std::optional<std::string>
    {
        if (!p_allowed.contains(p_text))
        {
            return "must be one of: " + join(p_allowed);
        }
        r_settings.*p_field = p_text;
        return std::nullopt;
    };
}

template <class Settings>
value_parser<Settings> log_level_parser(std::string Settings::*p_field)
{
    return [p_field](Settings& r_settings,
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

/// State while a file is parsed. It counts the lines because the INI parser
/// does not report them for valid lines.
template <class Settings>
struct parse_state
{
    const rule_table<Settings>& rules_;
    std::FILE* file_ = nullptr;
    std::string path_;
    int line_ = 0;
    Settings parsed_;
    std::set<std::string> seen_keys_;
    std::string error_;
};

template <class Settings>
char* read_line(char* r_line, int p_size, void* p_stream)
{
    auto* state = static_cast<parse_state<Settings>*>(p_stream);
    ++state->line_;
    return std::fgets(r_line, p_size, state->file_);
}

template <class Settings>
int handle_value(void* p_user, const char* p_section, const char* p_name,
                 const char* p_value)
{
    auto* state = static_cast<parse_state<Settings>*>(p_user);
    const std::string key = std::string(p_section) + "." + p_name;
    const std::string location =
        state->path_ + ":" + std::to_string(state->line_) + ": " + key + ": ";
    const auto rule = state->rules_.find(key);
    if (rule == state->rules_.end())
    {
        state->error_ = location + "unknown setting";
        return 0;
    }
    if (!state->seen_keys_.insert(key).second)
    {
        state->error_ = location + "is set more than once";
        return 0;
    }
    if (const auto problem = rule->second.parse_(state->parsed_, p_value))
    {
        state->error_ = location + *problem;
        return 0;
    }
    return 1;
}

/// Reads and validates a settings file. The error names the file, line and key.
template <class Settings>
[[nodiscard]] tl::expected<Settings, std::string>
load(const std::string& p_path, const rule_table<Settings>& p_rules)
{
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(
        std::fopen(p_path.c_str(), "r"), &std::fclose);
    if (!file)
    {
        return tl::unexpected(p_path + ": " + std::strerror(errno));
    }
    parse_state<Settings> state{p_rules, file.get(), p_path, 0, {}, {}, {}};
    const int invalid_line = ini_parse_stream(&read_line<Settings>, &state,
                                              &handle_value<Settings>, &state);
    if (!state.error_.empty())
    {
        return tl::unexpected(state.error_);
    }
    if (invalid_line != 0)
    {
        return tl::unexpected(
            p_path + ":" + std::to_string(invalid_line) +
            ": expected a section, a key=value pair or a comment");
    }
    for (const auto& [key, rule] : p_rules)
    {
        if (rule.required_ && !state.seen_keys_.contains(key))
        {
            return tl::unexpected(p_path + ": " + key +
                                  ": required setting is missing");
        }
    }
    return state.parsed_;
}

} // namespace peridotspar::setting_rules
