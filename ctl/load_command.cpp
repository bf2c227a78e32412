// The command peridotsparctl load.

#include "ctl/command.hpp"
#include "ctl/load_generator.hpp"

#include <cstdio>
#include <map>

#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

json summarize(const std::vector<load_sample>& p_samples)
{
    std::vector<double> first_token_ms;
    std::vector<double> token_gaps_ms;
    std::map<std::string, int> errors;
    int complete = 0;
    int broken = 0;
    for (const auto& sample : p_samples)
    {
        if (sample.complete_)
        {
            ++complete;
            first_token_ms.push_back(sample.first_token_ms_);
            token_gaps_ms.insert(token_gaps_ms.end(), sample.gaps_ms_.begin(),
                                 sample.gaps_ms_.end());
        }
        else if (sample.status_ == 200)
        {
            ++broken;
        }
        else
        {
            ++errors[sample.error_code_.empty() ? "no_connection"
                                                : sample.error_code_];
        }
    }
    return {{"requests", p_samples.size()},
            {"whole", complete},
            {"broken", broken},
            {"errors", errors},
            {"first_token_ms_p50", percentile(first_token_ms, 0.5)},
            {"first_token_ms_p95", percentile(first_token_ms, 0.95)},
            {"first_token_ms_p99", percentile(first_token_ms, 0.99)},
            {"token_gap_ms_p50", percentile(token_gaps_ms, 0.5)},
            {"token_gap_ms_p95", percentile(token_gaps_ms, 0.95)}};
}

} // namespace

exit_code run_load_command(const argument_list& p_arguments)
{
    load_plan plan;
    int count = 100;
    int concurrency = 10;
    int output_tokens = 32;
    int prompt_bytes = 200;
    double rate = 0;
    char* model = nullptr;
    char* request_class = nullptr;
    const auto command = parse_command(
        "load", "[OPTION...] [ADDRESS:PORT...]", p_arguments,
        {{"count", 'c', POPT_ARG_INT, &count, 0, "requests", "N"},
         {"concurrent", 0, POPT_ARG_INT, &concurrency, 0, "concurrent requests",
          "N"},
         {"rate", 0, POPT_ARG_DOUBLE, &rate, 0, "requests per second", "R"},
         {"tokens", 't', POPT_ARG_INT, &output_tokens, 0,
          "output tokens per request", "N"},
         {"prompt-bytes", 0, POPT_ARG_INT, &prompt_bytes, 0,
          "minimum prompt size", "N"},
         {"model", 'm', POPT_ARG_STRING, &model, 0, "model", "NAME"},
         {"class", 0, POPT_ARG_STRING, &request_class, 0, "request class",
          "NAME"}});
    constexpr int max_requests = 1'000'000;
    constexpr int max_concurrency = 1000;
    const bool valid = command && model != nullptr && count > 0 &&
                       count <= max_requests && concurrency > 0 &&
                       concurrency <= max_concurrency && output_tokens > 0 &&
                       prompt_bytes >= 0 && rate >= 0;
    if (!valid)
    {
        std::fprintf(stderr, "usage: peridotsparctl load --model NAME "
                             "[--count N] [--concurrent N] ...\n");
        return exit_code::usage;
    }
    plan.targets_.push_back(command->common_.node_);
    for (const auto& argument : command->arguments_)
    {
        const auto target = parse_endpoint(argument);
        if (!target)
        {
            std::fprintf(stderr, "peridotsparctl: %s is not ADDRESS:PORT\n",
                         argument.c_str());
            return exit_code::usage;
        }
        plan.targets_.push_back(*target);
    }
    plan.key_ = command->common_.key_;
    plan.model_ = model;
    plan.class_ = request_class == nullptr ? "" : request_class;
    plan.request_count_ = static_cast<std::uint32_t>(count);
    plan.concurrency_ = static_cast<std::uint32_t>(concurrency);
    plan.requests_per_second_ = rate;
    plan.output_tokens_ = static_cast<std::uint32_t>(output_tokens);
    plan.prompt_bytes_ = static_cast<std::uint32_t>(prompt_bytes);
    const json summary = summarize(run_load(plan));
    if (command->common_.json_)
    {
        std::puts(summary.dump(2).c_str());
    }
    else
    {
        for (const auto& [name, value] : summary.items())
        {
            std::printf("%s=%s\n", name.c_str(), value.dump().c_str());
        }
    }
    return summary["broken"] == 0 ? exit_code::ok : exit_code::failed;
}

} // namespace peridotspar
