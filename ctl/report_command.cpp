// peridotsparctl report burn

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

constexpr double usual_target = 0.95;

/// Asks every node that the first one knows; silent ones are named.
std::optional<burn_report> collect(const common_options& p_options,
                                   double p_target, exit_code& r_code)
{
    const auto status = call_node(p_options, "GET", "/admin/v1/status");
    if (!status || status->status_ != 200)
    {
        r_code = status ? print_error(*status) : exit_code::no_answer;
        return std::nullopt;
    }
    std::map<std::string, std::string> answers;
    std::vector<std::string> silent;
    const json known = json::parse(status->body_);
    for (const auto& node : known["nodes"])
    {
        const std::string name = node["name"].get<std::string>();
        common_options options = p_options;
        options.node_ = *parse_endpoint(node["address"].get<std::string>());
        const auto answer = call_node(options, "GET", "/admin/v1/burn");
        if (answer && answer->status_ == 200)
        {
            answers[name] = answer->body_;
        }
        else
        {
            silent.push_back(name);
        }
    }
    return merge_burn(answers, silent, p_target, unix_ms());
}

} // namespace

exit_code run_report(const words& p_words)
{
    if (p_words.empty() || p_words.front() != "burn")
    {
        std::fprintf(stderr, "usage: peridotsparctl report burn ...\n");
        return exit_code::usage;
    }
    char* html = nullptr;
    double target = usual_target;
    const auto line = parse_command(
        "report burn", "[OPTION...]", words(p_words.begin() + 1, p_words.end()),
        {{"html", 0, POPT_ARG_STRING, &html, 0, "write a page to FILE", "FILE"},
         {"target", 0, POPT_ARG_DOUBLE, &target, 0,
          "share that must meet its class's target", "SHARE"}});
    if (!line || !line->arguments_.empty() || target <= 0 || target >= 1)
    {
        std::fprintf(stderr, "peridotsparctl report burn: --target must be "
                             "between 0 and 1\n");
        return exit_code::usage;
    }
    auto code = exit_code::ok;
    const auto report = collect(line->common_, target, code);
    if (!report)
    {
        return code;
    }
    if (html != nullptr)
    {
        std::ofstream page(html);
        page << to_html(*report);
        if (!page.flush())
        {
            std::fprintf(stderr, "peridotsparctl: can't write %s\n", html);
            return exit_code::failed;
        }
    }
    std::fputs(line->common_.json_ ? (to_json(*report) + "\n").c_str()
                                   : to_text(*report).c_str(),
               stdout);
    return exit_code::ok;
}

} // namespace peridotspar
