// Sends requests as callers and operators while a script injects faults.
// Records their answers, compares them with what the services executed, prints
// the counts on one line and fails if a guarantee was violated.

#include "core/log.hpp"
#include "core/text.hpp"
#include "ctl/load_generator.hpp"
#include "transport/http_client.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

#include <civetweb.h>
#include <nlohmann/json.hpp>
#include <popt.h>

namespace
{

using namespace peridotspar;
using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint16_t node_port = 8080;
constexpr std::uint16_t service_port = 9100;
constexpr int order_threads = 6;
constexpr int chat_threads = 4;
constexpr int max_sends = 10;
constexpr milliseconds order_timeout{3000};
constexpr milliseconds max_time_to_in_force{8000};

/// The outcome of one order as its caller sees it.
struct order_record
{
    std::string key_;
    int sends_ = 0;
    bool completed_ = false;
    bool all_not_run_ = true;     ///< Every send had the verdict "not run".
    bool answers_differ_ = false; ///< Repeated answers had different bodies.
    std::string body_;
};

struct results
{
    std::mutex mutex_;
    std::vector<order_record> orders_;
    /// Streams that ended without their last token or an error, by node.
    std::vector<std::uint64_t> chats_cut_;
    std::uint64_t chats_ = 0;
    std::uint64_t chats_whole_ = 0;
    std::uint64_t chats_refused_ = 0;
    std::uint64_t chats_wrong_ = 0;
    std::uint64_t reverted_revisions_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t conflicts_ = 0;
    /// Highest revision that a write of the configuration created.
    std::uint64_t highest_revision_ = 0;
    std::vector<std::uint64_t> last_seen_revisions_; ///< By node.
};

struct plan
{
    std::vector<endpoint> nodes_;
    std::vector<endpoint> services_;
    std::string document_;
    std::string operator_key_;
    steady_clock::time_point end_;
    unsigned seed_ = 1;
};

std::vector<endpoint> endpoints(const char* p_list, std::uint16_t p_port)
{
    std::vector<endpoint> list;
    std::istringstream text(p_list == nullptr ? "" : p_list);
    for (std::string item; std::getline(text, item, ',');)
    {
        list.push_back({item, p_port});
    }
    return list;
}

std::string response_verdict(const http_response& p_answer)
{
    return p_answer.header("X-Verdict");
}

/// Sends one order to random nodes until it succeeds or `max_sends` is reached.
order_record place_order(const plan& p_plan, std::mt19937& r_random)
{
    order_record record;
    record.key_ = make_uuid7();
    http_request request;
    request.method_ = "POST";
    request.target_ = "/v1/services/orders/book?delay_ms=" +
                      std::to_string(20 + r_random() % 300);
    request.timeout_ = order_timeout;
    request.headers_ = {{"Authorization", "Bearer shop-key"},
                        {"X-Class", "order"},
                        {"Idempotency-Key", record.key_}};
    request.body_ = "{\"order\":\"" + record.key_ + "\"}";
    // A quarter of the orders are sent again after a successful answer.
    const int extra_sends = r_random() % 4 == 0 ? 1 : 0;
    int successes = 0;
    while (record.sends_ < max_sends && successes <= extra_sends)
    {
        ++record.sends_;
        const auto& node = p_plan.nodes_[r_random() % p_plan.nodes_.size()];
        const auto answer = call(node, request);
        if (!answer)
        {
            record.all_not_run_ = record.all_not_run_ &&
                                  answer.error().verdict_ == verdict::not_run;
            std::this_thread::sleep_for(milliseconds(200));
            continue;
        }
        if (answer->status_ == 200)
        {
            record.answers_differ_ =
                record.answers_differ_ ||
                (record.completed_ && record.body_ != answer->body_);
            record.body_ = answer->body_;
            record.completed_ = true;
            record.all_not_run_ = false;
            ++successes;
            // The node records the answer asynchronously, after sending it.
            std::this_thread::sleep_for(milliseconds(400));
            continue;
        }
        record.all_not_run_ =
            record.all_not_run_ && response_verdict(*answer) == "not_run";
        std::this_thread::sleep_for(milliseconds(300));
    }
    return record;
}

void run_orders(const plan& p_plan, unsigned p_seed, results& r_results)
{
    std::mt19937 random(p_seed);
    while (steady_clock::now() < p_plan.end_)
    {
        const order_record record = place_order(p_plan, random);
        std::lock_guard lock(r_results.mutex_);
        r_results.orders_.push_back(record);
    }
}

void run_chats(const plan& p_plan, unsigned p_seed, results& r_results)
{
    std::mt19937 random(p_seed);
    while (steady_clock::now() < p_plan.end_)
    {
        const std::size_t node_index = random() % p_plan.nodes_.size();
        load_plan chat;
        chat.targets_ = {p_plan.nodes_[node_index]};
        chat.key_ = "kerb-key";
        chat.model_ = "small";
        chat.request_count_ = 1;
        chat.output_tokens_ = 10 + random() % 60;
        chat.timeout_ = milliseconds(20000);
        chat.prompt_prefix_ = "chat " + std::to_string(random());
        const load_sample sample = run_load(chat).front();
        {
            std::lock_guard lock(r_results.mutex_);
            ++r_results.chats_;
            const bool has_error_code = !sample.error_code_.empty();
            r_results.chats_whole_ += sample.complete_ ? 1 : 0;
            r_results.chats_refused_ +=
                !sample.complete_ && has_error_code ? 1 : 0;
            const bool was_cut =
                !sample.complete_ && !has_error_code && sample.status_ == 200;
            r_results.chats_cut_[node_index] += was_cut ? 1 : 0;
            r_results.chats_wrong_ +=
                was_cut && sample.tokens_ > chat.output_tokens_ ? 1 : 0;
        }
        if (!sample.complete_)
        {
            std::this_thread::sleep_for(milliseconds(200));
        }
    }
}

std::optional<std::uint64_t> fetch_revision(const plan& p_plan,
                                            const endpoint& p_node)
{
    http_request request;
    request.target_ = "/admin/v1/config";
    request.timeout_ = milliseconds(1000);
    request.headers_ = {{"Authorization", "Bearer " + p_plan.operator_key_}};
    const auto answer = call(p_node, request);
    const json body = answer && answer->status_ == 200
                          ? json::parse(answer->body_, nullptr, false)
                          : json();
    if (!body.is_object())
    {
        return std::nullopt;
    }
    return body["revision"].get<std::uint64_t>();
}

/// Changes the configuration at random intervals. Two threads run this, so that
/// their writes conflict.
void run_configuration_changes(const plan& p_plan, unsigned p_seed,
                               results& r_results)
{
    std::mt19937 random(p_seed);
    while (steady_clock::now() < p_plan.end_)
    {
        std::this_thread::sleep_for(milliseconds(300 + random() % 500));
        const auto& node = p_plan.nodes_[random() % p_plan.nodes_.size()];
        const auto base_revision = fetch_revision(p_plan, node);
        if (!base_revision || *base_revision == 0)
        {
            continue;
        }
        http_request request;
        request.method_ = "PUT";
        request.target_ = "/admin/v1/config";
        request.timeout_ = milliseconds(8000);
        request.headers_ = {{"Authorization", "Bearer " + p_plan.operator_key_},
                            {"If-Match", std::to_string(*base_revision)}};
        request.body_ = p_plan.document_;
        const auto answer = call(node, request);
        const json body =
            answer ? json::parse(answer->body_, nullptr, false) : json();
        std::lock_guard lock(r_results.mutex_);
        if (answer && answer->status_ == 200)
        {
            ++r_results.writes_;
            r_results.highest_revision_ =
                std::max(r_results.highest_revision_,
                         body["revision"].get<std::uint64_t>());
        }
        else if (answer && answer->status_ == 409)
        {
            ++r_results.conflicts_;
        }
    }
}

void watch_revisions(const plan& p_plan, results& r_results)
{
    while (steady_clock::now() < p_plan.end_)
    {
        for (std::size_t i = 0; i < p_plan.nodes_.size(); ++i)
        {
            const auto revision = fetch_revision(p_plan, p_plan.nodes_[i]);
            if (!revision || *revision == 0)
            {
                continue;
            }
            std::lock_guard lock(r_results.mutex_);
            r_results.reverted_revisions_ +=
                *revision < r_results.last_seen_revisions_[i] ? 1 : 0;
            r_results.last_seen_revisions_[i] = *revision;
        }
        std::this_thread::sleep_for(milliseconds(150));
    }
}

/// Returns the time in milliseconds until every node has revision `p_revision`,
/// or -1 if that takes longer than `max_time_to_in_force`.
std::int64_t wait_until_in_force(const plan& p_plan, std::uint64_t p_revision)
{
    const auto started = steady_clock::now();
    while (steady_clock::now() - started < max_time_to_in_force)
    {
        const bool all = std::all_of(
            p_plan.nodes_.begin(), p_plan.nodes_.end(),
            [&](const endpoint& p_node) {
                return fetch_revision(p_plan, p_node).value_or(0) >= p_revision;
            });
        if (all)
        {
            return std::chrono::duration_cast<milliseconds>(
                       steady_clock::now() - started)
                .count();
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return -1;
}

std::map<std::string, int> count_runs(const plan& p_plan)
{
    std::map<std::string, int> runs;
    for (const auto& service : p_plan.services_)
    {
        http_request request;
        request.target_ = "/control/runs";
        const auto answer = call(service, request);
        if (!answer)
        {
            continue;
        }
        const json counts = json::parse(answer->body_);
        for (const auto& [key, count] : counts.items())
        {
            runs[key] += count.get<int>();
        }
    }
    return runs;
}

int report(const plan& p_plan, results& r_results)
{
    const std::int64_t in_force_ms =
        wait_until_in_force(p_plan, r_results.highest_revision_);
    const auto runs = count_runs(p_plan);
    std::uint64_t second_runs = 0;
    std::uint64_t false_not_run = 0;
    std::uint64_t lost_orders = 0;
    std::uint64_t different_answers = 0;
    std::uint64_t completed = 0;
    for (const auto& order : r_results.orders_)
    {
        const auto found = runs.find(order.key_);
        const int count = found == runs.end() ? 0 : found->second;
        second_runs += count > 1 ? 1 : 0;
        false_not_run += order.all_not_run_ && count > 0 ? 1 : 0;
        lost_orders += order.completed_ && count == 0 ? 1 : 0;
        different_answers += order.answers_differ_ ? 1 : 0;
        completed += order.completed_ ? 1 : 0;
    }
    std::string cut_counts;
    for (std::size_t i = 0; i < r_results.chats_cut_.size(); ++i)
    {
        cut_counts += " cut_n" + std::to_string(i + 1) + "=" +
                      std::to_string(r_results.chats_cut_[i]);
    }
    std::printf(
        "requests=%llu whole=%llu refused=%llu orders=%zu completed=%llu "
        "second_runs=%llu false_not_run=%llu lost=%llu answers_differ=%llu "
        "wrong=%llu writes=%llu conflicts=%llu reverted=%llu "
        "in_force_ms=%lld%s\n",
        static_cast<unsigned long long>(r_results.chats_),
        static_cast<unsigned long long>(r_results.chats_whole_),
        static_cast<unsigned long long>(r_results.chats_refused_),
        r_results.orders_.size(), static_cast<unsigned long long>(completed),
        static_cast<unsigned long long>(second_runs),
        static_cast<unsigned long long>(false_not_run),
        static_cast<unsigned long long>(lost_orders),
        static_cast<unsigned long long>(different_answers),
        static_cast<unsigned long long>(r_results.chats_wrong_),
        static_cast<unsigned long long>(r_results.writes_),
        static_cast<unsigned long long>(r_results.conflicts_),
        static_cast<unsigned long long>(r_results.reverted_revisions_),
        static_cast<long long>(in_force_ms), cut_counts.c_str());
    const bool passed = second_runs + false_not_run + lost_orders +
                                different_answers + r_results.chats_wrong_ +
                                r_results.reverted_revisions_ ==
                            0 &&
                        in_force_ms >= 0;
    return passed ? 0 : 1;
}

} // namespace

int main(int p_count, char** p_arguments)
{
    char* nodes = nullptr;
    char* services = nullptr;
    char* document = nullptr;
    char* key = nullptr;
    int seconds = 10;
    int seed = 1;
    poptOption options[] = {
        {"nodes", 0, POPT_ARG_STRING, &nodes, 0,
         "addresses of the nodes, separated by commas", "LIST"},
        {"services", 0, POPT_ARG_STRING, &services, 0,
         "addresses of the services, separated by commas", "LIST"},
        {"document", 0, POPT_ARG_STRING, &document, 0,
         "configuration document that the operators write", "TEXT"},
        {"key", 0, POPT_ARG_STRING, &key, 0, "API key of the operators", "KEY"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0,
         "duration of the load in seconds", "N"},
        {"seed", 0, POPT_ARG_INT, &seed, 0, "seed of the random numbers", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(
        nullptr, p_count, const_cast<const char**>(p_arguments), options, 0);
    if (poptGetNextOpt(context) < -1 || document == nullptr || key == nullptr)
    {
        poptPrintUsage(context, stderr, 0);
        return 2;
    }
    start_logging(log_level::error);
    mg_init_library(0);
    plan planned;
    planned.nodes_ = endpoints(nodes, node_port);
    planned.services_ = endpoints(services, service_port);
    planned.document_ = document;
    planned.operator_key_ = key;
    planned.seed_ = static_cast<unsigned>(seed);
    planned.end_ = steady_clock::now() + std::chrono::seconds(seconds);
    results outcome;
    outcome.chats_cut_.assign(planned.nodes_.size(), 0);
    outcome.last_seen_revisions_.assign(planned.nodes_.size(), 0);
    std::vector<std::thread> threads;
    for (int i = 0; i < order_threads; ++i)
    {
        threads.emplace_back(
            [&, i] { run_orders(planned, planned.seed_ * 100 + i, outcome); });
    }
    for (int i = 0; i < chat_threads; ++i)
    {
        threads.emplace_back(
            [&, i]
            { run_chats(planned, planned.seed_ * 100 + 50 + i, outcome); });
    }
    for (int i = 0; i < 2; ++i)
    {
        threads.emplace_back(
            [&, i] {
                run_configuration_changes(planned, planned.seed_ * 100 + 90 + i,
                                          outcome);
            });
    }
    threads.emplace_back([&] { watch_revisions(planned, outcome); });
    for (auto& thread : threads)
    {
        thread.join();
    }
    return report(planned, outcome);
}
