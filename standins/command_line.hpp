#pragma once

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <popt.h>

namespace peridotspar
{

/// Options that all stand-ins have.
struct standin_options
{
    char* address_ = nullptr; ///< IPv4 address to listen on; null: loopback.
    int port_ = 0;
};

/// Parses the command line of a stand-in, which may have further options.
/// Prints an error and exits with status 2 if it is invalid.
inline void parse_standin_options(int p_count, const char** p_arguments,
                                  standin_options& r_options,
                                  std::vector<poptOption> p_extra_options = {})
{
    std::vector<poptOption> option_table{
        {"address", 0, POPT_ARG_STRING, &r_options.address_, 0,
         "IPv4 address to listen on", "ADDRESS"},
        {"port", 'p', POPT_ARG_INT, &r_options.port_, 0, "port", "PORT"}};
    option_table.insert(option_table.end(), p_extra_options.begin(),
                        p_extra_options.end());
    static poptOption help[] = {POPT_AUTOHELP POPT_TABLEEND};
    option_table.push_back(help[0]);
    option_table.push_back(POPT_TABLEEND);
    poptContext context =
        poptGetContext(nullptr, p_count, p_arguments, option_table.data(), 0);
    const int status = poptGetNextOpt(context);
    const bool has_arguments = poptPeekArg(context) != nullptr;
    if (status < -1 || has_arguments || r_options.port_ <= 0)
    {
        std::fprintf(stderr, "%s: %s\n", p_arguments[0],
                     status < -1 ? poptStrerror(status)
                     : has_arguments
                         ? "positional arguments are not supported"
                         : "--port is missing or not a positive number");
        std::exit(2);
    }
    poptFreeContext(context);
}

inline std::string listen_address(const standin_options& p_options)
{
    return p_options.address_ == nullptr ? "127.0.0.1" : p_options.address_;
}

} // namespace peridotspar
