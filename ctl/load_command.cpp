// peridotsparctl load

#include "ctl/command.hpp"
#include "ctl/load_runner.hpp"

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
    std::vector<double> first;
    std::vector<double> gaps;
    std::map<std::string, int> errors;
    int whole = 0;
    int broken = 0;
    for (const auto& sample : p_samples)
    {
        if (sample.whole_)
        {
            ++whole;
            first.push_back(sample.first_token_ms_);
            gaps.insert(gaps.end(), sample.gaps_ms_.begin(),
                        sample.gaps_ms_.end());
        }
        else if (sample.status_ == 200)
        {
            ++broken;
        }
        else
        {
            ++errors[sample.code_.empty() ? "no_connection" : sample.code_];
        }
    }
    return {{"requests", p_samples.size()},
            {"whole", whole},
            {"broken", broken},
            {"errors", errors},
            {"first_token_ms_p50", percentile(first, 0.5)},
            {"first_token_ms_p95", percentile(first, 0.95)},
            {"first_token_ms_p99", percentile(first, 0.99)},
            {"token_gap_ms_p50", percentile(gaps, 0.5)},
            {"token_gap_ms_p95", percentile(gaps, 0.95)}};
}

} // namespace

exit_code run_load_command(const words& p_words)
{
    load_plan plan;
    int count = 100;
    int concurrent = 10;
    int tokens = 32;
    int prompt = 200;
    double rate = 0;
    char* model = nullptr;
    char* kind = nullptr;
    const auto line = parse_command(
        "load", "[OPTION...] [ADDRESS:PORT...]", p_words,
        {{"count", 'c', POPT_ARG_INT, &count, 0, "requests", "N"},
         {"concurrent", 0, POPT_ARG_INT, &concurrent, 0, "at a time", "N"},
         {"rate", 0, POPT_ARG_DOUBLE, &rate, 0, "requests a second", "R"},
         {"tokens", 't', POPT_ARG_INT, &tokens, 0, "output tokens", "N"},
         {"prompt-bytes", 0, POPT_ARG_INT, &prompt, 0, "prompt size", "N"},
         {"model", 'm', POPT_ARG_STRING, &model, 0, "model", "NAME"},
         {"class", 0, POPT_ARG_STRING, &kind, 0, "class of work", "NAME"}});
    constexpr int most_requests = 1'000'000;
    constexpr int most_concurrent = 1000;
    const bool fits = line && model != nullptr && count > 0 &&
                      count <= most_requests && concurrent > 0 &&
                      concurrent <= most_concurrent && tokens > 0 &&
                      prompt >= 0 && rate >= 0;
    if (!fits)
    {
        std::fprintf(stderr, "usage: peridotsparctl load --model NAME "
                             "[--count N] [--concurrent N] ...\n");
        return exit_code::usage;
    }
    plan.targets_.push_back(line->common_.node_);
    for (const auto& argument : line->arguments_)
    {
        const auto target = parse_endpoint(argument);
        if (!target)
        {
            std::fprintf(stderr, "peridotsparctl: %s: is not ADDRESS:PORT\n",
                         argument.c_str());
            return exit_code::usage;
        }
        plan.targets_.push_back(*target);
    }
    plan.key_ = line->common_.key_;
    plan.model_ = model;
    plan.class_ = kind == nullptr ? "" : kind;
    plan.count_ = static_cast<std::uint32_t>(count);
    plan.concurrent_ = static_cast<std::uint32_t>(concurrent);
    plan.per_second_ = rate;
    plan.output_tokens_ = static_cast<std::uint32_t>(tokens);
    plan.prompt_bytes_ = static_cast<std::uint32_t>(prompt);
    const json summary = summarize(run_load(plan));
    if (line->common_.json_)
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
