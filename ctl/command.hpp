#pragma once

#include "transport/http_client.hpp"

#include <optional>
#include <string>
#include <vector>

#include <popt.h>

namespace peridotspar
{

/// Exit codes of peridotsparctl.
enum class exit_code : int
{
    ok = 0,
    failed = 1,      ///< The operation failed, or a check found errors.
    usage = 2,       ///< The command line is invalid, or a file unreadable.
    conflict = 3,    ///< Another operator has changed the configuration.
    no_response = 4, ///< The node can't be reached or doesn't respond.
};

/// The options that all commands have in common.
struct common_options
{
    endpoint node_;
    std::string key_;   ///< API key, sent as a bearer token.
    bool json_ = false; ///< Print JSON instead of text.
};

/// A parsed command line: the common options and the positional arguments.
struct command_line
{
    common_options common_;
    std::vector<std::string> arguments_;
};

/// Parses the arguments after a command's name: the common options and
/// `p_extra_options`, whose values are stored through their own pointers.
/// Prints an error and returns `nullopt` if the arguments are invalid.
[[nodiscard]] std::optional<command_line>
parse_command(const std::string& p_name, const std::string& p_usage,
              const std::vector<std::string>& p_arguments,
              std::vector<poptOption> p_extra_options = {});

/// Parses `ADDRESS:PORT`, where ADDRESS is an IPv4 address.
[[nodiscard]] std::optional<endpoint> parse_endpoint(const std::string& p_text);

/// Sends a request to a node's HTTP API and waits up to 15 s for the response.
/// Prints the error and returns `nullopt` if there is none.
[[nodiscard]] std::optional<http_response>
call_node(const common_options& p_options, const std::string& p_method,
          const std::string& p_target, const std::string& p_body = {},
          const http_headers& p_headers = {});

/// Prints the error in an unsuccessful response, and returns the exit code
/// for it.
exit_code print_error(const http_response& p_answer);

/// The arguments after the command's name.
using argument_list = std::vector<std::string>;

exit_code run_config(const argument_list& p_arguments);
exit_code run_status(const argument_list& p_arguments);
exit_code run_entry(const argument_list& p_arguments);
exit_code run_drain(const argument_list& p_arguments);
exit_code run_leave(const argument_list& p_arguments);
exit_code run_load_command(const argument_list& p_arguments);
exit_code run_report(const argument_list& p_arguments);
exit_code run_explain(const argument_list& p_arguments);

} // namespace peridotspar
