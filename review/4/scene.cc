// Case 4: five of nine nodes lose power at once, and a server that didn't
// report that it drains is removed just then.

#include "review/standins/scene.hh"

using namespace scene;

namespace
{

constexpr double drain_s = 2.0;
/// The server serves a little longer than drain_s after its entry's removal,
/// and exits.
constexpr double server_exits_after_s = 2.2;
/// The nodes that lose power come back after this time.
constexpr double down_s = 2.0;
constexpr std::size_t most_killed = 5; // Of nine: a share of 0.56.
constexpr int order_deadline_ms = 2500;

std::atomic<bool> stopping{false};

/// The nodes that are in contact with the store, by their metrics.
std::set<node*> find_followers()
{
    std::set<node*> found;
    for (node& each : nodes)
    {
        stream metrics;
        message answer;
        const std::string mark = "store_in_contact\"} ";
        if (metrics.connect(each.metrics(), 1) &&
            metrics.write("GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n") &&
            read_message(metrics, now() + 1, answer))
        {
            const auto at = answer.body_.find(mark);
            const bool follows = at != std::string::npos &&
                                 answer.body_[at + mark.size()] == '1';
            if (follows)
            {
                found.insert(&each);
                record("node %s is in contact with the store",
                       each.name().c_str());
            }
        }
    }
    return found;
}

/// Books orders at one node after the other, on kept connections.
void book_orders(unsigned p_seed, const std::set<node*>& p_without)
{
    std::mt19937 random(p_seed);
    std::uniform_int_distribution<int> work(20, 50);
    std::uniform_real_distribution<double> pause(0.005, 0.03);
    std::map<std::string, std::unique_ptr<stream>> connections;
    std::vector<endpoint> all;
    for (node& each : nodes)
    {
        if (!p_without.contains(&each))
        {
            all.push_back(each.callers());
        }
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
    store platform({"127.0.45.200", free_port("127.0.45.200")});
    platform.put("config", "main", configuration(1));
    std::list<engine> engines;
    for (int i = 1; i <= 3; ++i)
    {
        const std::string ip = "127.0.45." + std::to_string(100 + i);
        engines.emplace_back("i-order" + std::to_string(i), "orders-app",
                             endpoint{ip, free_port(ip)}, 6);
    }
    for (const auto& each : engines)
    {
        platform.put("servers", each.id(), each.entry("ready"));
    }
    start_nodes(45, 9, platform);
    sleep_s(3);
    std::set<node*> killed = find_followers();
    for (int i = 0; i < 20 && killed.size() > most_killed; ++i)
    {
        sleep_s(0.5);
        killed = find_followers();
    }
    if (killed.size() > most_killed)
    {
        could_not_run("more than five nodes follow the store");
    }
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < 16; ++i)
    {
        callers.emplace_back([i, &killed] { book_orders(i, killed); });
    }
    sleep_s(5); // Longer than stability_ms: nothing has disturbed anybody.

    engine& leaves = engines.back();
    double removed_at = 0;
    if (has_trouble())
    {
        for (node* each : killed)
        {
            each->signal(SIGKILL);
        }
        sleep_s(0.05);
    }
    removed_at = platform.remove("servers", leaves.id());
    record("the store has removed %s", leaves.id().c_str());
    sleep_s(removed_at + down_s - now());
    for (node* each : killed)
    {
        if (each->has_exited())
        {
            each->start(platform.at(), seeds_of_nodes(), false);
        }
    }
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
