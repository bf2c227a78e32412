// Compares the times to the first token and between tokens through a node with
// those of direct calls to the engine, alone and beside background streams.

#include "ctl/load_generator.hpp"

#include <algorithm>
#include <cstdio>
#include <thread>

#include <popt.h>

namespace
{

using namespace peridotspar;

constexpr std::uint32_t background_streams = 300;
constexpr std::uint32_t background_tokens = 150;

struct latency_samples
{
    std::vector<double> first_token_ms_;
    std::vector<double> gaps_ms_;
    std::size_t completed_ = 0;
    std::size_t total_ = 0;

    void add(const std::vector<load_sample>& p_samples)
    {
        for (const auto& sample : p_samples)
        {
            ++total_;
            completed_ += sample.complete_ ? 1 : 0;
            if (sample.complete_)
            {
                first_token_ms_.push_back(sample.first_token_ms_);
                gaps_ms_.insert(gaps_ms_.end(), sample.gaps_ms_.begin(),
                                sample.gaps_ms_.end());
            }
        }
    }
};

void print_comparison(const char* p_name, const latency_samples& p_direct,
                      const latency_samples& p_node)
{
    const auto difference = [](const std::vector<double>& p_base,
                               const std::vector<double>& p_compared,
                               double p_fraction) {
        return percentile(p_compared, p_fraction) -
               percentile(p_base, p_fraction);
    };
    std::printf(
        "bench=relay case=%s direct_whole=%zu/%zu node_whole=%zu/%zu "
        "direct_first_p50_ms=%.3f node_first_p50_ms=%.3f "
        "added_first_p50_ms=%.3f added_first_p99_ms=%.3f "
        "direct_gap_p50_ms=%.3f node_gap_p50_ms=%.3f "
        "added_gap_p50_ms=%.3f added_gap_p99_ms=%.3f\n",
        p_name, p_direct.completed_, p_direct.total_, p_node.completed_,
        p_node.total_, percentile(p_direct.first_token_ms_, 0.5),
        percentile(p_node.first_token_ms_, 0.5),
        difference(p_direct.first_token_ms_, p_node.first_token_ms_, 0.5),
        difference(p_direct.first_token_ms_, p_node.first_token_ms_, 0.99),
        percentile(p_direct.gaps_ms_, 0.5), percentile(p_node.gaps_ms_, 0.5),
        difference(p_direct.gaps_ms_, p_node.gaps_ms_, 0.5),
        difference(p_direct.gaps_ms_, p_node.gaps_ms_, 0.99));
}

load_plan plan_for(const endpoint& p_target, std::uint32_t p_count,
                   std::uint32_t p_concurrent, const std::string& p_mark)
{
    load_plan plan;
    plan.targets_ = {p_target};
    plan.key_ = "kerb-key";
    plan.model_ = "other";
    plan.request_count_ = p_count;
    plan.concurrency_ = p_concurrent;
    plan.output_tokens_ = 20;
    plan.prompt_prefix_ = p_mark;
    return plan;
}

/// Alternates between direct and relayed calls, so that both are measured under
/// the same load of the machine.
void compare(const char* p_name, const endpoint& p_direct,
             const endpoint& p_node, std::uint32_t p_rounds,
             std::uint32_t p_concurrent)
{
    latency_samples direct;
    latency_samples node;
    for (std::uint32_t i = 0; i < p_rounds; ++i)
    {
        const std::string mark = std::to_string(i);
        direct.add(run_load(
            plan_for(p_direct, p_concurrent, p_concurrent, "d" + mark)));
        node.add(
            run_load(plan_for(p_node, p_concurrent, p_concurrent, "n" + mark)));
    }
    print_comparison(p_name, direct, node);
}

} // namespace

int main(int p_count, char** p_arguments)
{
    char* direct = nullptr;
    char* node = nullptr;
    poptOption options[] = {
        {"direct", 0, POPT_ARG_STRING, &direct, 0, "engine", "ADDRESS"},
        {"node", 0, POPT_ARG_STRING, &node, 0, "node", "ADDRESS"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(
        nullptr, p_count, const_cast<const char**>(p_arguments), options, 0);
    if (poptGetNextOpt(context) < -1 || direct == nullptr || node == nullptr)
    {
        poptPrintUsage(context, stderr, 0);
        return 2;
    }
    const endpoint engine_endpoint{direct, 9000};
    const endpoint node_endpoint{node, 8080};
    compare("alone", engine_endpoint, node_endpoint, 400, 1);
    // Measure again while streams go through the node to another engine.
    load_plan background_load =
        plan_for(node_endpoint, background_streams, background_streams, "b");
    background_load.model_ = "small";
    background_load.output_tokens_ = background_tokens;
    std::vector<load_sample> samples;
    std::thread background_thread([&] { samples = run_load(background_load); });
    std::this_thread::sleep_for(std::chrono::seconds(3));
    compare("beside_300_streams", engine_endpoint, node_endpoint, 200, 1);
    background_thread.join();
    latency_samples background_samples;
    background_samples.add(samples);
    std::printf("bench=relay case=the_300_streams whole=%zu/%zu "
                "gap_p50_ms=%.3f gap_p99_ms=%.3f\n",
                background_samples.completed_, background_samples.total_,
                percentile(background_samples.gaps_ms_, 0.5),
                percentile(background_samples.gaps_ms_, 0.99));
    return 0;
}
