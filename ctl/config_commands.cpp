// The commands peridotsparctl config check|get|apply|diff.

#include "config/document.hpp"
#include "ctl/command.hpp"

#include <cstdio>
#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

std::optional<std::string> read_file(const std::string& p_path)
{
    std::ifstream file(p_path);
    if (!file)
    {
        std::fprintf(stderr, "peridotsparctl: can't read %s\n", p_path.c_str());
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

exit_code check_document(const std::string& p_path, bool p_json)
{
    const auto text = read_file(p_path);
    if (!text)
    {
        return exit_code::usage;
    }
    const auto parsed = parse_document(*text);
    if (p_json)
    {
        const json errors = parsed
                                ? json::array()
                                : json::parse(errors_to_json(parsed.error()));
        std::puts(json{{"valid", parsed.has_value()}, {"errors", errors}}
                      .dump(2)
                      .c_str());
    }
    else if (parsed)
    {
        std::puts("the document is valid");
    }
    else
    {
        for (const auto& error : parsed.error())
        {
            std::printf("%s: %s\n", error.path_.c_str(),
                        error.message_.c_str());
        }
    }
    return parsed ? exit_code::ok : exit_code::failed;
}

/// The configuration in force, as `{revision, document}`. On failure sets
/// `r_code` and returns `nullopt`.
std::optional<json> fetch_config(const common_options& p_options,
                                 exit_code& r_code)
{
    const auto answer = call_node(p_options, "GET", "/admin/v1/config");
    if (!answer)
    {
        r_code = exit_code::no_response;
        return std::nullopt;
    }
    if (answer->status_ != 200)
    {
        r_code = print_error(*answer);
        return std::nullopt;
    }
    return json::parse(answer->body_);
}

exit_code print_config(const common_options& p_options)
{
    auto code = exit_code::ok;
    const auto current = fetch_config(p_options, code);
    if (!current)
    {
        return code;
    }
    std::puts(p_options.json_ ? current->dump(2).c_str()
                              : (*current)["document"].dump(2).c_str());
    if (!p_options.json_)
    {
        std::fprintf(stderr, "revision %s\n",
                     (*current)["revision"].dump().c_str());
    }
    return exit_code::ok;
}

exit_code apply_document(const common_options& p_options,
                         const std::string& p_path, long long p_revision)
{
    const auto text = read_file(p_path);
    if (!text)
    {
        return exit_code::usage;
    }
    auto code = exit_code::ok;
    std::string expected = std::to_string(p_revision);
    if (p_revision < 0)
    {
        const auto current = fetch_config(p_options, code);
        if (!current)
        {
            return code;
        }
        expected = (*current)["revision"].dump();
    }
    const auto answer = call_node(p_options, "PUT", "/admin/v1/config", *text,
                                  {{"If-Match", expected}});
    if (!answer)
    {
        return exit_code::no_response;
    }
    if (answer->status_ != 200)
    {
        return print_error(*answer);
    }
    const json written = json::parse(answer->body_);
    std::puts(p_options.json_
                  ? written.dump().c_str()
                  : ("revision " + written["revision"].dump()).c_str());
    return exit_code::ok;
}

exit_code diff_document(const common_options& p_options,
                        const std::string& p_path)
{
    const auto text = read_file(p_path);
    const json new_document =
        text ? json::parse(*text, nullptr, false) : json();
    if (!new_document.is_object())
    {
        std::fprintf(stderr, "peridotsparctl: %s: is not a JSON object\n",
                     p_path.c_str());
        return exit_code::usage;
    }
    auto code = exit_code::ok;
    const auto current = fetch_config(p_options, code);
    if (!current)
    {
        return code;
    }
    const json changes = json::diff((*current)["document"], new_document);
    if (p_options.json_)
    {
        std::puts(changes.dump(2).c_str());
        return exit_code::ok;
    }
    for (const auto& change : changes)
    {
        std::printf("%s %s %s\n", change["op"].get<std::string>().c_str(),
                    change["path"].get<std::string>().c_str(),
                    change.value("value", json()).dump().c_str());
    }
    return exit_code::ok;
}

} // namespace

exit_code run_config(const argument_list& p_arguments)
{
    const std::string subcommand =
        p_arguments.empty() ? "" : p_arguments.front();
    const bool is_known = subcommand == "check" || subcommand == "get" ||
                          subcommand == "apply" || subcommand == "diff";
    if (!is_known)
    {
        std::fprintf(stderr, "usage: peridotsparctl config "
                             "check|get|apply|diff ...\n");
        return exit_code::usage;
    }
    const argument_list arguments(p_arguments.begin() + 1, p_arguments.end());
    if (subcommand == "check")
    {
        // Checks locally, with the same parser that the nodes use.
        const bool as_json = arguments.size() == 2 && arguments[1] == "--json";
        if (arguments.empty() || (arguments.size() > 1 && !as_json))
        {
            std::fprintf(stderr,
                         "usage: peridotsparctl config check FILE [--json]\n");
            return exit_code::usage;
        }
        return check_document(arguments.front(), as_json);
    }
    long long revision = -1;
    std::vector<poptOption> extra_options;
    if (subcommand == "apply")
    {
        extra_options.push_back(
            {"revision", 'r', POPT_ARG_LONGLONG, &revision, 0,
             "revision to replace (default: the one in force)", "N"});
    }
    const auto command =
        parse_command("config " + subcommand,
                      subcommand == "get" ? "[OPTION...]" : "[OPTION...] FILE",
                      arguments, extra_options);
    const std::size_t expected_arguments = subcommand == "get" ? 0 : 1;
    if (!command || command->arguments_.size() != expected_arguments)
    {
        std::fprintf(stderr, "usage: peridotsparctl config %s%s\n",
                     subcommand.c_str(),
                     expected_arguments == 0 ? "" : " FILE");
        return exit_code::usage;
    }
    if (subcommand == "get")
    {
        return print_config(command->common_);
    }
    return subcommand == "apply"
               ? apply_document(command->common_, command->arguments_.front(),
                                revision)
               : diff_document(command->common_, command->arguments_.front());
}

} // namespace peridotspar
