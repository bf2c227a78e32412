// Compares first token and inter-token times through a node with those of the
// direct call to the engine, in one run.

#include "ctl/load_generator.hpp"

#include <algorithm>
#include <cstdio>
#include <thread>

#include <popt.h>

namespace
{

using namespace peridotspar;

constexpr std::uint32_t beside_streams = 300;
constexpr std::uint32_t beside_tokens = 150;

struct side
{
    std::vector<double> first_;
    std::vector<double> gaps_;
    std::size_t whole_ = 0;
    std::size_t all_ = 0;

    void add(const std::vector<load_sample>& p_samples)
    {
        for (const auto& sample : p_samples)
        {
            ++all_;
            whole_ += sample.complete_ ? 1 : 0;
            if (sample.complete_)
            {
                first_.push_back(sample.first_token_ms_);
                gaps_.insert(gaps_.end(), sample.gaps_ms_.begin(),
                             sample.gaps_ms_.end());
            }
        }
    }
};

void print(const char* p_name, const side& p_direct, const side& p_node)
{
    const auto added = [](const std::vector<double>& p_left,
                          const std::vector<double>& p_right, double p_share)
    { return percentile(p_right, p_share) - percentile(p_left, p_share); };
    std::printf("bench=relay case=%s direct_whole=%zu/%zu node_whole=%zu/%zu "
                "direct_first_p50_ms=%.3f node_first_p50_ms=%.3f "
                "added_first_p50_ms=%.3f added_first_p99_ms=%.3f "
                "direct_gap_p50_ms=%.3f node_gap_p50_ms=%.3f "
                "added_gap_p50_ms=%.3f added_gap_p99_ms=%.3f\n",
                p_name, p_direct.whole_, p_direct.all_, p_node.whole_,
                p_node.all_, percentile(p_direct.first_, 0.5),
                percentile(p_node.first_, 0.5),
                added(p_direct.first_, p_node.first_, 0.5),
                added(p_direct.first_, p_node.first_, 0.99),
                percentile(p_direct.gaps_, 0.5), percentile(p_node.gaps_, 0.5),
                added(p_direct.gaps_, p_node.gaps_, 0.5),
                added(p_direct.gaps_, p_node.gaps_, 0.99));
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

/// Takes turns, so that both sides see the same moments of the machine.
void compare(const char* p_name, const endpoint& p_direct,
             const endpoint& p_node, std::uint32_t p_rounds,
             std::uint32_t p_concurrent)
{
    side direct;
    side node;
    for (std::uint32_t i = 0; i < p_rounds; ++i)
    {
        const std::string mark = std::to_string(i);
        direct.add(run_load(
            plan_for(p_direct, p_concurrent, p_concurrent, "d" + mark)));
        node.add(
            run_load(plan_for(p_node, p_concurrent, p_concurrent, "n" + mark)));
    }
    print(p_name, direct, node);
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
    const endpoint engine{direct, 9000};
    const endpoint entry{node, 8080};
    compare("alone", engine, entry, 400, 1);
    // The same beside streams that go through the node to another engine.
    load_plan beside = plan_for(entry, beside_streams, beside_streams, "b");
    beside.model_ = "small";
    beside.output_tokens_ = beside_tokens;
    std::vector<load_sample> samples;
    std::thread background([&] { samples = run_load(beside); });
    std::this_thread::sleep_for(std::chrono::seconds(3));
    compare("beside_300_streams", engine, entry, 200, 1);
    background.join();
    side all;
    all.add(samples);
    std::printf("bench=relay case=the_300_streams whole=%zu/%zu "
                "gap_p50_ms=%.3f gap_p99_ms=%.3f\n",
                all.whole_, all.all_, percentile(all.gaps_, 0.5),
                percentile(all.gaps_, 0.99));
    return 0;
}
