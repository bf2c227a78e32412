// peridotsparctl status|entry|drain|leave

#include "ctl/command.hpp"

#include <cstdio>

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

/// Calls and checks; the parsed body of a success.
std::optional<json> fetch(const common_options& p_options,
                          const std::string& p_method,
                          const std::string& p_target,
                          const std::string& p_body, exit_code& r_code)
{
    const auto answer = call_node(p_options, p_method, p_target, p_body);
    if (!answer)
    {
        r_code = exit_code::no_answer;
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

exit_code run_status(const words& p_words)
{
    const auto line = parse_command("status", "[OPTION...]", p_words);
    if (!line || !line->arguments_.empty())
    {
        return exit_code::usage;
    }
    auto code = exit_code::ok;
    const auto found =
        fetch(line->common_, "GET", "/admin/v1/status", {}, code);
    if (!found)
    {
        return code;
    }
    if (line->common_.json_)
    {
        std::puts(found->dump(2).c_str());
        return exit_code::ok;
    }
    print_status(*found);
    return exit_code::ok;
}

exit_code run_entry(const words& p_words)
{
    const auto line = parse_command("entry", "[OPTION...]", p_words);
    if (!line || !line->arguments_.empty())
    {
        return exit_code::usage;
    }
    auto code = exit_code::ok;
    const auto found = fetch(line->common_, "GET", "/v1/entry", {}, code);
    if (!found)
    {
        return code;
    }
    if (line->common_.json_)
    {
        std::puts(found->dump(2).c_str());
        return exit_code::ok;
    }
    for (const auto& item : (*found)["addresses"])
    {
        std::printf("%s %s\n", item["address"].get<std::string>().c_str(),
                    item["failure_domain"].get<std::string>().c_str());
    }
    std::printf("good for %s ms\n", (*found)["max_age_ms"].dump().c_str());
    return exit_code::ok;
}

exit_code run_drain(const words& p_words)
{
    int undo = 0;
    const auto line =
        parse_command("drain", "[OPTION...] BACKEND-SERVER", p_words,
                      {{"undo", 'u', POPT_ARG_NONE, &undo, 0,
                        "let it take work again", nullptr}});
    if (!line || line->arguments_.size() != 1)
    {
        std::fprintf(stderr, "usage: peridotsparctl drain BACKEND-SERVER\n");
        return exit_code::usage;
    }
    const json body{{"backend_server", line->arguments_.front()},
                    {"draining", undo == 0}};
    auto code = exit_code::ok;
    const auto written =
        fetch(line->common_, "POST", "/admin/v1/drain", body.dump(), code);
    if (!written)
    {
        return code;
    }
    std::puts(line->common_.json_
                  ? written->dump().c_str()
                  : ("revision " + (*written)["revision"].dump()).c_str());
    return exit_code::ok;
}

exit_code run_leave(const words& p_words)
{
    const auto line = parse_command("leave", "[OPTION...]", p_words);
    if (!line || !line->arguments_.empty())
    {
        return exit_code::usage;
    }
    auto code = exit_code::ok;
    const auto done =
        fetch(line->common_, "POST", "/admin/v1/leave", "{}", code);
    if (!done)
    {
        return code;
    }
    std::puts(line->common_.json_ ? done->dump().c_str() : "the node leaves");
    return exit_code::ok;
}

} // namespace peridotspar
