#include "ctl/command.hpp"

#include <cstdio>
#include <cstdlib>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

constexpr std::chrono::milliseconds call_timeout{15000};

std::string to_string_or_empty(const char* p_text)
{
    return p_text == nullptr ? std::string() : std::string(p_text);
}

} // namespace

std::optional<endpoint> parse_endpoint(const std::string& p_text)
{
    const auto colon = p_text.rfind(':');
    in_addr parsed{};
    if (colon == std::string::npos ||
        inet_pton(AF_INET, p_text.substr(0, colon).c_str(), &parsed) != 1)
    {
        return std::nullopt;
    }
    const int port = std::atoi(p_text.c_str() + colon + 1);
    if (port < 1 || port > 65535)
    {
        return std::nullopt;
    }
    return endpoint{p_text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::optional<command_line>
parse_command(const std::string& p_name, const std::string& p_usage,
              const std::vector<std::string>& p_arguments,
              std::vector<poptOption> p_extra_options)
{
    char* node = nullptr;
    char* key = nullptr;
    int as_json = 0;
    std::vector<poptOption> table = std::move(p_extra_options);
    table.push_back({"node", 'n', POPT_ARG_STRING, &node, 0,
                     "node to call (or PERIDOTSPAR_NODE)", "ADDRESS:PORT"});
    table.push_back({"key", 'k', POPT_ARG_STRING, &key, 0,
                     "API key (or PERIDOTSPAR_KEY)", "KEY"});
    table.push_back(
        {"json", 'j', POPT_ARG_NONE, &as_json, 0, "print JSON", nullptr});
    static poptOption help[] = {POPT_AUTOHELP POPT_TABLEEND};
    table.push_back(help[0]);
    table.push_back(POPT_TABLEEND);

    const std::string program = "peridotsparctl " + p_name;
    std::vector<const char*> arguments{program.c_str()};
    for (const auto& argument : p_arguments)
    {
        arguments.push_back(argument.c_str());
    }
    arguments.push_back(nullptr);
    poptContext context =
        poptGetContext(nullptr, static_cast<int>(arguments.size()) - 1,
                       arguments.data(), table.data(), 0);
    poptSetOtherOptionHelp(context, p_usage.c_str());
    const int status = poptGetNextOpt(context);
    if (status < -1)
    {
        std::fprintf(stderr, "%s: %s: %s\n", program.c_str(),
                     poptBadOption(context, 0), poptStrerror(status));
        poptFreeContext(context);
        return std::nullopt;
    }
    command_line parsed;
    while (const char* argument = poptGetArg(context))
    {
        parsed.arguments_.emplace_back(argument);
    }
    std::string node_text = to_string_or_empty(node);
    node_text = node_text.empty()
                    ? to_string_or_empty(std::getenv("PERIDOTSPAR_NODE"))
                    : node_text;
    parsed.common_.key_ = to_string_or_empty(key);
    if (parsed.common_.key_.empty())
    {
        parsed.common_.key_ =
            to_string_or_empty(std::getenv("PERIDOTSPAR_KEY"));
    }
    parsed.common_.json_ = as_json != 0;
    poptFreeContext(context);
    if (const auto node_endpoint = parse_endpoint(node_text))
    {
        parsed.common_.node_ = *node_endpoint;
        return parsed;
    }
    std::fprintf(stderr, "%s: --node must be ADDRESS:PORT\n", program.c_str());
    return std::nullopt;
}

std::optional<http_response> call_node(const common_options& p_options,
                                       const std::string& p_method,
                                       const std::string& p_target,
                                       const std::string& p_body,
                                       const http_headers& p_headers)
{
    http_request request;
    request.method_ = p_method;
    request.target_ = p_target;
    request.body_ = p_body;
    request.headers_ = p_headers;
    request.headers_.emplace_back("Authorization", "Bearer " + p_options.key_);
    request.timeout_ = call_timeout;
    auto answer = call(p_options.node_, request);
    if (!answer)
    {
        std::fprintf(stderr, "peridotsparctl: %s:%d: %s\n",
                     p_options.node_.address_.c_str(), p_options.node_.port_,
                     answer.error().message_.c_str());
        return std::nullopt;
    }
    return std::move(*answer);
}

exit_code print_error(const http_response& p_answer)
{
    const json body = json::parse(p_answer.body_, nullptr, false);
    const json error = body.is_object() ? body.value("error", json()) : json();
    if (!error.is_object())
    {
        std::fprintf(stderr, "peridotsparctl: status %d\n", p_answer.status_);
        return exit_code::failed;
    }
    std::fprintf(stderr, "peridotsparctl: %s: %s\n",
                 error.value("code", "").c_str(),
                 error.value("message", "").c_str());
    for (const auto& item : error.value("errors", json::array()))
    {
        std::fprintf(stderr, "  %s: %s\n", item.value("path", "").c_str(),
                     item.value("message", "").c_str());
    }
    if (p_answer.status_ == 409)
    {
        std::fprintf(stderr, "  current revision: %llu\n",
                     static_cast<unsigned long long>(
                         error.value("current_revision", 0ULL)));
        return exit_code::conflict;
    }
    return exit_code::failed;
}

} // namespace peridotspar
