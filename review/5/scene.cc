// Case 5: the store cuts off the waiting watches as it removes a server that
// didn't report that it drains.

#include "review/standins/scene.hh"

using namespace scene;

namespace
{

constexpr double drain_s = 2.0;
/// The server serves a little longer than drain_s after its entry's removal,
/// and exits.
constexpr double server_exits_after_s = 2.1;
constexpr int order_deadline_ms = 2500;

std::atomic<bool> stopping{false};

/// Books orders at one node after the other, on kept connections.
void book_orders(unsigned p_seed)
{
    std::mt19937 random(p_seed);
    std::uniform_int_distribution<int> work(20, 50);
    std::uniform_real_distribution<double> pause(0.005, 0.03);
    std::map<std::string, std::unique_ptr<stream>> connections;
    std::vector<endpoint> all;
    for (const node& each : nodes)
    {
        all.push_back(each.callers());
    }
    while (!stopping)
    {
        const endpoint& to = all[random() % all.size()];
        auto& connection = connections[to.text()];
        if (!connection)
        {
            connection = std::make_unique<stream>();
        }
        call(*connection, to, "/job/book", order_deadline_ms,
             json{{"work", work(random)}}.dump());
        sleep_s(pause(random));
    }
}

} // namespace

int main(int, char** p_arguments)
{
    begin(p_arguments[1]);
    store platform({"127.0.42.200", free_port("127.0.42.200")});
    platform.put("config", "main", configuration(1));
    std::list<engine> engines;
    for (int i = 1; i <= 3; ++i)
    {
        const std::string ip = "127.0.42." + std::to_string(100 + i);
        engines.emplace_back("i-order" + std::to_string(i), "orders-app",
                             endpoint{ip, free_port(ip)}, 6);
    }
    for (const auto& each : engines)
    {
        platform.put("servers", each.id(), each.entry("ready"));
    }
    start_nodes(42, 3, platform);
    sleep_s(1);
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < 16; ++i)
    {
        callers.emplace_back([i] { book_orders(i); });
    }
    sleep_s(5); // Longer than stability_ms: nothing has disturbed anybody.

    engine& leaves = engines.back();
    double removed_at = 0;
    if (has_trouble())
    {
        platform.cut_watches_with(
            [&] { removed_at = platform.remove("servers", leaves.id()); });
    }
    else
    {
        removed_at = platform.remove("servers", leaves.id());
    }
    record("the store has removed %s%s", leaves.id().c_str(),
           has_trouble() ? " and cut off the waiting watches" : "");
    sleep_s(removed_at + server_exits_after_s - now());
    leaves.end();
    record("server %s exits", leaves.id().c_str());
    sleep_s(2);
    stopping = true;
    for (auto& each : callers)
    {
        each.join();
    }
    sleep_s(0.2);

    const std::lock_guard first_lock(runs_mutex);
    const std::lock_guard second_lock(attempts_mutex);
    int late = 0;
    int late_and_lost = 0;
    int answered = 0;
    double last = 0;
    std::map<std::string, const attempt*> by_id;
    for (const attempt& each : attempts)
    {
        by_id[each.id_] = &each;
        answered += each.status_ == 200 ? 1 : 0;
        if (each.status_ != 200)
        {
            record("order %s: status %d%s", each.id_.c_str(), each.status_,
                   run_of(each.id_) == nullptr ? "" : ", a server ran it");
        }
    }
    for (const run& each : runs)
    {
        if (each.server_ != leaves.id() || each.arrived_ < removed_at)
        {
            continue;
        }
        const double after = each.arrived_ - removed_at;
        last = std::max(last, after);
        if (after <= drain_s)
        {
            continue;
        }
        ++late;
        const auto seen = by_id.find(each.attempt_);
        const bool lost = seen != by_id.end() && seen->second->status_ != 200;
        late_and_lost += lost ? 1 : 0;
        record("DRAIN: order %s reached %s %.3f s after its removal; its "
               "caller at %s got status %d",
               each.attempt_.c_str(), each.server_.c_str(), after,
               seen == by_id.end() ? "?" : seen->second->to_.text().c_str(),
               seen == by_id.end() ? -1 : seen->second->status_);
    }
    record("orders: %zu, answered 200: %d; last at the removed server %.3f s "
           "after its removal; later than drain_ms: %d, of these without "
           "success: %d",
           attempts.size(), answered, last, late, late_and_lost);
    std::cout << "orders " << attempts.size() << ", answered " << answered
              << ", late " << late << ", of these lost " << late_and_lost
              << ", last after " << last << " s\n";
    if (answered < 100)
    {
        could_not_run("too few orders were answered");
    }
    leave(late > 0 ? 1 : 0);
}
