// Measures work that depends on the traffic and that an idle cluster doesn't
// show, each for several sizes: answering cap claims at a home node, the size
// of cap claim messages, and recording and merging the burn report.

#include "daemon/wire_codec.hpp"
#include "observe/burn_recorder.hpp"
#include "observe/burn_report.hpp"
#include "policy/cap_allocator.hpp"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

#include <unistd.h>

namespace
{

using namespace peridotspar;
using steady = std::chrono::steady_clock;

double us_since(steady::time_point p_start)
{
    return std::chrono::duration<double, std::micro>(steady::now() - p_start)
        .count();
}

/// Returns the resident memory of this process in KiB.
long resident_kb()
{
    std::ifstream file("/proc/self/statm");
    long pages = 0;
    long resident = 0;
    file >> pages >> resident;
    return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

policy::catalogue catalogue_with_accounts(std::uint32_t p_accounts)
{
    policy::catalogue created;
    for (std::uint32_t i = 0; i < p_accounts; ++i)
    {
        created.accounts_.push_back(
            {"account-" + std::to_string(i), 1000, 50, 1});
    }
    return created;
}

/// Measures the time to answer a claim and the memory in use at the home node
/// of `p_accounts` accounts that `p_nodes` nodes claim parts of.
void measure_cap_home(std::uint32_t p_nodes, std::uint32_t p_accounts)
{
    const policy::tuning settings;
    policy::cap_allocator allocator(settings);
    const auto known = catalogue_with_accounts(p_accounts);
    time_point now{std::chrono::hours(1)};
    constexpr int rounds = 5;
    const long before = resident_kb();
    const auto started = steady::now();
    std::uint64_t claims = 0;
    for (int round = 0; round < rounds; ++round)
    {
        now += settings.cap_claim_interval_;
        for (std::uint32_t node = 0; node < p_nodes; ++node)
        {
            for (std::uint32_t i = 0; i < p_accounts; ++i)
            {
                (void)allocator.allocate(node_id("n" + std::to_string(node)),
                                         {{account_index(i), 100, 5}}, known, 1,
                                         now);
                ++claims;
            }
        }
    }
    std::printf("bench=cap_home nodes=%u accounts=%u us_per_claim=%.2f "
                "memory_kb=%ld\n",
                p_nodes, p_accounts,
                us_since(started) / static_cast<double>(claims),
                resident_kb() - before);
}

/// Prints the size of a message that claims parts of `p_accounts` caps.
void measure_claim_message(std::uint32_t p_accounts)
{
    // Bytes that encryption and framing add to a message.
    constexpr std::size_t envelope_bytes = 80;
    snapshot known;
    known.catalogue_ = std::make_shared<policy::catalogue>(
        catalogue_with_accounts(p_accounts));
    std::vector<policy::cap_claim> claims;
    for (std::uint32_t i = 0; i < p_accounts; ++i)
    {
        claims.push_back({account_index(i), 100, 5});
    }
    std::printf("bench=cap_message accounts=%u bytes=%zu\n", p_accounts,
                encode(to_wire(claims, known)).size() + envelope_bytes);
}

/// Measures an hour of records, one per account and minute, and the merging of
/// one node's answer into a report.
void measure_burn_report(std::uint32_t p_accounts)
{
    constexpr std::int64_t minute_ms = 60'000;
    constexpr int minutes = 60;
    burn_recorder recorder;
    const long before = resident_kb();
    const auto started = steady::now();
    std::uint64_t records = 0;
    for (int minute = 0; minute < minutes; ++minute)
    {
        for (std::uint32_t i = 0; i < p_accounts; ++i)
        {
            request_record record;
            record.class_ = "class-" + std::to_string(i % 6);
            record.account_ = "account-" + std::to_string(i);
            record.backend_ = "e1";
            record.first_token_ms_ = 100;
            record.first_token_target_ms_ = 1800;
            record.token_gap_target_ms_ = 34;
            recorder.record(record, minute * minute_ms);
            ++records;
        }
    }
    const double note_us = us_since(started) / static_cast<double>(records);
    const long memory = resident_kb() - before;
    const std::string answer = recorder.to_json("n1");
    const auto merge_started = steady::now();
    const auto report =
        merge_burn_records({{"n1", answer}}, {}, 0.95, minutes * minute_ms);
    std::printf("bench=burn accounts=%u note_us=%.2f memory_kb=%ld "
                "answer_kb=%zu merge_ms=%.1f lines=%zu\n",
                p_accounts, note_us, memory, answer.size() / 1024,
                us_since(merge_started) / 1000, report.accounts_.size());
}

} // namespace

int main()
{
    for (const std::uint32_t nodes : {9U, 36U, 350U})
    {
        measure_cap_home(nodes, 3);
    }
    for (const std::uint32_t accounts : {1U, 10U, 31U})
    {
        measure_claim_message(accounts);
    }
    for (const std::uint32_t accounts : {10U, 100U, 1000U})
    {
        measure_burn_report(accounts);
    }
    return 0;
}
