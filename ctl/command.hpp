#pragma once

#include "transport/http_client.hpp"

#include <optional>
#include <string>
#include <vector>

#include <popt.h>

namespace peridotspar
{

/// Exit codes of the tool.
enum class exit_code : int
{
    ok = 0,
    failed = 1,      ///< The operation failed, or a check found errors.
    usage = 2,       ///< The command line is wrong.
    conflict = 3,    ///< Another operator changed the configuration.
    no_response = 4, ///< The node doesn't answer.
};

/// Options that every command takes.
struct common_options
{
    endpoint node_;
    std::string key_;
    bool json_ = false;
};

/// A parsed command line: the common options and the arguments left.
struct command_line
{
    common_options common_;
    std::vector<std::string> arguments_;
};

/// Parses a command's options, with `p_own` besides the common ones. Prints
/// what is wrong, and returns nothing then.
[[nodiscard]] std::optional<command_line>
parse_command(const std::string& p_name, const std::string& p_usage,
              const std::vector<std::string>& p_arguments,
              std::vector<poptOption> p_extra_options = {});

/// Parses `ADDRESS:PORT`.
[[nodiscard]] std::optional<endpoint> parse_endpoint(const std::string& p_text);

/// Calls the administration API; prints why when there is no answer.
[[nodiscard]] std::optional<http_answer>
call_node(const common_options& p_options, const std::string& p_method,
          const std::string& p_target, const std::string& p_body = {},
          const http_headers& p_headers = {});

/// Prints the error of an answer that isn't a success.
exit_code print_error(const http_answer& p_answer);

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
