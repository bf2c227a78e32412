#pragma once

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <popt.h>

namespace peridotspar
{

/// The options that every stand-in takes, and those that one adds.
struct standin_options
{
    char* address_ = nullptr;
    int port_ = 0;
};

/// Parses a stand-in's command line; ends the process on a wrong one.
inline void parse_standin(int p_count, const char** p_arguments,
                          standin_options& r_options,
                          std::vector<poptOption> p_more = {})
{
    std::vector<poptOption> table{
        {"address", 0, POPT_ARG_STRING, &r_options.address_, 0,
         "IPv4 number to listen on", "ADDRESS"},
        {"port", 'p', POPT_ARG_INT, &r_options.port_, 0, "port", "PORT"}};
    table.insert(table.end(), p_more.begin(), p_more.end());
    static poptOption help[] = {POPT_AUTOHELP POPT_TABLEEND};
    table.push_back(help[0]);
    table.push_back(POPT_TABLEEND);
    poptContext context =
        poptGetContext(nullptr, p_count, p_arguments, table.data(), 0);
    const int status = poptGetNextOpt(context);
    const bool extra = poptPeekArg(context) != nullptr;
    if (status < -1 || extra || r_options.port_ <= 0)
    {
        std::fprintf(stderr, "%s: %s\n", p_arguments[0],
                     status < -1 ? poptStrerror(status)
                     : extra     ? "takes no arguments"
                                 : "--port is missing");
        std::exit(2);
    }
    poptFreeContext(context);
}

inline std::string address_of(const standin_options& p_options)
{
    return p_options.address_ == nullptr ? "127.0.0.1" : p_options.address_;
}

} // namespace peridotspar
