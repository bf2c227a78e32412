// peridotsparctl: the command-line tool for operators.

#include "core/log.hpp"
#include "ctl/command.hpp"

#include <cstdio>
#include <functional>
#include <map>

#include <civetweb.h>

namespace
{

using namespace peridotspar;

struct command_entry
{
    const char* help_;
    std::function<exit_code(const argument_list&)> run_;
};

const std::map<std::string, command_entry>& commands()
{
    static const std::map<std::string, command_entry> table{
        {"config", {"check, get, apply or diff the configuration", run_config}},
        {"status",
         {"print the nodes and backend servers known to a node", run_status}},
        {"entry", {"print the addresses announced to callers", run_entry}},
        {"drain", {"stop sending new requests to a backend server", run_drain}},
        {"leave", {"make a node finish its requests and exit", run_leave}},
        {"load",
         {"generate a load and check every response", run_load_command}},
        {"explain",
         {"explain from the logs why a request failed or was late",
          run_explain}},
        {"report",
         {"report burn: error budget burn rates of all nodes", run_report}}};
    return table;
}

void print_help(std::FILE* p_to)
{
    std::fputs("usage: peridotsparctl COMMAND [OPTION...]\n", p_to);
    for (const auto& [name, entry] : commands())
    {
        std::fprintf(p_to, "  %-8s %s\n", name.c_str(), entry.help_);
    }
    std::fputs("Each command takes --help. Exit codes: 0 success, 1 failure,\n"
               "2 wrong usage, 3 conflict with another operator, 4 no "
               "response.\n",
               p_to);
}

} // namespace

int main(int p_count, char** p_arguments)
{
    const std::string name = p_count > 1 ? p_arguments[1] : "";
    if (name == "--help" || name == "-?")
    {
        print_help(stdout);
        return 0;
    }
    const auto found = commands().find(name);
    if (found == commands().end())
    {
        print_help(stderr);
        return static_cast<int>(exit_code::usage);
    }
    start_logging(log_level::error);
    mg_init_library(0);
    return static_cast<int>(found->second.run_(
        argument_list(p_arguments + 2, p_arguments + p_count)));
}
