// The command peridotsparctl report burn.

#include "core/clock.hpp"
#include "ctl/command.hpp"
#include "observe/burn_report.hpp"

#include <cstdio>
#include <fstream>

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

/// Share of requests that must meet their class's targets.
constexpr double default_target = 0.95;

/// Fetches and merges the records of all nodes known to the given node. Nodes
/// that don't respond are listed in the report as missing. On failure sets
/// `r_code` and returns `nullopt`.
std::optional<burn_report> collect_burn_report(const common_options& p_options,
                                               double p_target,
                                               exit_code& r_code)
{
    const auto status = call_node(p_options, "GET", "/admin/v1/status");
    if (!status || status->status_ != 200)
    {
        r_code = status ? print_error(*status) : exit_code::no_response;
        return std::nullopt;
    }
    std::map<std::string, std::string> node_records;
    std::vector<std::string> unreachable_nodes;
    const json status_body = json::parse(status->body_);
    for (const auto& node : status_body["nodes"])
    {
        const std::string name = node["name"].get<std::string>();
        common_options options = p_options;
        options.node_ = *parse_endpoint(node["address"].get<std::string>());
        const auto answer = call_node(options, "GET", "/admin/v1/burn");
        if (answer && answer->status_ == 200)
        {
            node_records[name] = answer->body_;
        }
        else
        {
            unreachable_nodes.push_back(name);
        }
    }
    return merge_burn_records(node_records, unreachable_nodes, p_target,
                              unix_ms());
}

} // namespace

exit_code run_report(const argument_list& p_arguments)
{
    if (p_arguments.empty() || p_arguments.front() != "burn")
    {
        std::fprintf(stderr, "usage: peridotsparctl report burn ...\n");
        return exit_code::usage;
    }
    char* html_path = nullptr;
    double target = default_target;
    const auto command = parse_command(
        "report burn", "[OPTION...]",
        argument_list(p_arguments.begin() + 1, p_arguments.end()),
        {{"html", 0, POPT_ARG_STRING, &html_path, 0,
          "write the report as HTML to FILE", "FILE"},
         {"target", 0, POPT_ARG_DOUBLE, &target, 0,
          "share of requests that must meet their class's targets", "SHARE"}});
    if (!command || !command->arguments_.empty() || target <= 0 || target >= 1)
    {
        std::fprintf(stderr, "peridotsparctl report burn: --target must be "
                             "between 0 and 1\n");
        return exit_code::usage;
    }
    auto code = exit_code::ok;
    const auto report = collect_burn_report(command->common_, target, code);
    if (!report)
    {
        return code;
    }
    if (html_path != nullptr)
    {
        std::ofstream html_file(html_path);
        html_file << to_html(*report);
        if (!html_file.flush())
        {
            std::fprintf(stderr, "peridotsparctl: can't write %s\n", html_path);
            return exit_code::failed;
        }
    }
    std::fputs(command->common_.json_ ? (to_json(*report) + "\n").c_str()
                                      : to_text(*report).c_str(),
               stdout);
    return exit_code::ok;
}

} // namespace peridotspar
