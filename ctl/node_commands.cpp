// The commands peridotsparctl status|entry|drain|leave.

#include "ctl/command.hpp"

#include <cstdio>

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

/// Sends a request and returns the parsed body of a successful response. On
/// failure sets `r_code` and returns `nullopt`.
std::optional<json> call_and_parse(const common_options& p_options,
                                   const std::string& p_method,
                                   const std::string& p_target,
                                   const std::string& p_body, exit_code& r_code)
{
    const auto answer = call_node(p_options, p_method, p_target, p_body);
    if (!answer)
    {
        r_code = exit_code::no_response;
        return std::nullopt;
    }
    if (answer->status_ >= 300)
    {
        r_code = print_error(*answer);
        return std::nullopt;
    }
    return json::parse(answer->body_, nullptr, false);
}

void print_status(const json& p_status)
{
    std::printf("node %s revision %s open_requests %s\n",
                p_status["node"].get<std::string>().c_str(),
                p_status["revision"].dump().c_str(),
                p_status["open_requests"].dump().c_str());
    for (const auto& node : p_status["nodes"])
    {
        std::printf("  node %s %s %s load=%s%%%s\n",
                    node["name"].get<std::string>().c_str(),
                    node["address"].get<std::string>().c_str(),
                    node["failure_domain"].get<std::string>().c_str(),
                    node["load_percent"].dump().c_str(),
                    node["leaving"].get<bool>() ? " leaving" : "");
    }
    for (const auto& backend : p_status["backend_servers"])
    {
        std::printf("  backend server %s %s slots=%s%s\n",
                    backend["name"].get<std::string>().c_str(),
                    backend["address"].get<std::string>().c_str(),
                    backend["slots"].dump().c_str(),
                    backend["draining"].get<bool>() ? " draining" : "");
    }
}

} // namespace

exit_code run_status(const argument_list& p_arguments)
{
    const auto command = parse_command("status", "[OPTION...]", p_arguments);
    if (!command || !command->arguments_.empty())
    {
        return exit_code::usage;
    }
    auto code = exit_code::ok;
    const auto result =
        call_and_parse(command->common_, "GET", "/admin/v1/status", {}, code);
    if (!result)
    {
        return code;
    }
    if (command->common_.json_)
    {
        std::puts(result->dump(2).c_str());
        return exit_code::ok;
    }
    print_status(*result);
    return exit_code::ok;
}

exit_code run_entry(const argument_list& p_arguments)
{
    const auto command = parse_command("entry", "[OPTION...]", p_arguments);
    if (!command || !command->arguments_.empty())
    {
        return exit_code::usage;
    }
    auto code = exit_code::ok;
    const auto result =
        call_and_parse(command->common_, "GET", "/v1/entry", {}, code);
    if (!result)
    {
        return code;
    }
    if (command->common_.json_)
    {
        std::puts(result->dump(2).c_str());
        return exit_code::ok;
    }
    for (const auto& item : (*result)["addresses"])
    {
        std::printf("%s %s\n", item["address"].get<std::string>().c_str(),
                    item["failure_domain"].get<std::string>().c_str());
    }
    std::printf("valid for %s ms\n", (*result)["max_age_ms"].dump().c_str());
    return exit_code::ok;
}

exit_code run_drain(const argument_list& p_arguments)
{
    int undo = 0;
    const auto command =
        parse_command("drain", "[OPTION...] BACKEND-SERVER", p_arguments,
                      {{"undo", 'u', POPT_ARG_NONE, &undo, 0,
                        "send it new requests again", nullptr}});
    if (!command || command->arguments_.size() != 1)
    {
        std::fprintf(stderr, "usage: peridotsparctl drain BACKEND-SERVER\n");
        return exit_code::usage;
    }
    const json body{{"backend_server", command->arguments_.front()},
                    {"draining", undo == 0}};
    auto code = exit_code::ok;
    const auto result = call_and_parse(command->common_, "POST",
                                       "/admin/v1/drain", body.dump(), code);
    if (!result)
    {
        return code;
    }
    std::puts(command->common_.json_
                  ? result->dump().c_str()
                  : ("revision " + (*result)["revision"].dump()).c_str());
    return exit_code::ok;
}

exit_code run_leave(const argument_list& p_arguments)
{
    const auto command = parse_command("leave", "[OPTION...]", p_arguments);
    if (!command || !command->arguments_.empty())
    {
        return exit_code::usage;
    }
    auto code = exit_code::ok;
    const auto result =
        call_and_parse(command->common_, "POST", "/admin/v1/leave", "{}", code);
    if (!result)
    {
        return code;
    }
    std::puts(command->common_.json_ ? result->dump().c_str()
                                     : "the node is leaving");
    return exit_code::ok;
}

} // namespace peridotspar
