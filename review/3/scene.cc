// Case 3: the nodes of a small deployment get SIGTERM, three at a time, while
// each has one long chat.

#include "review/standins/scene.hh"

using namespace scene;

namespace
{

constexpr double grace_s = 8;
constexpr double gap_s = 1.0;
constexpr std::size_t at_a_time = 3;
constexpr int order_deadline_ms = 2500;
constexpr double order_timeout_s = 1.2;

std::atomic<bool> stopping{false};

/// Books orders one after the other, each on a kept or a new connection.
void book_orders(address_book& r_book, unsigned p_seed)
{
    std::mt19937 random(p_seed);
    std::uniform_int_distribution<int> work(30, 220);
    std::uniform_real_distribution<double> pause(0.02, 0.1);
    std::map<std::string, double> failed; // By address: until when.
    stream connection;
    endpoint to;
    while (!stopping)
    {
        const auto listed = r_book.addresses();
        std::vector<endpoint> usable;
        bool still_listed = false;
        for (const auto& each : listed)
        {
            still_listed |= each.text() == to.text();
            if (failed[each.text()] < now())
            {
                usable.push_back(each);
            }
        }
        if (!still_listed)
        {
            connection.close();
        }
        if (!connection.is_open())
        {
            const auto& from = usable.empty() ? listed : usable;
            if (from.empty())
            {
                sleep_s(0.1);
                continue;
            }
            to = from[random() % from.size()];
        }
        const attempt done =
            call(connection, to, "/job/book", order_deadline_ms,
                 json{{"work", work(random)}}.dump());
        if (done.sent_ == 0 || (!done.whole_ && !done.gave_up_))
        {
            failed[to.text()] = now() + 1;
        }
        sleep_s(pause(random));
    }
}

/// A chat whose answer takes 12 of the 15 seconds that it may.
void chat(endpoint p_to)
{
    stream connection;
    const std::string id = new_attempt();
    message answer;
    const bool sent =
        connection.connect(p_to, 1) &&
        connection.write(request_text(
            id, "/chat/x", 15000, json{{"events", 240}, {"pause", 50}}.dump(),
            "Model: m\r\nToken-Counts: 400,480\r\n"
            "Prefix-Hash: 5c1e07a2:350,e4402b7d:50\r\n"));
    const bool whole = sent && read_message(connection, now() + 15, answer);
    record("chat %s at %s: %s", id.c_str(), p_to.text().c_str(),
           whole ? "complete" : "cut");
}

} // namespace

int main(int, char** p_arguments)
{
    begin(p_arguments[1]);
    store platform({"127.0.41.200", free_port("127.0.41.200")});
    platform.put("config", "main", configuration(1));
    std::list<engine> engines;
    for (int i = 1; i <= 3; ++i)
    {
        const std::string ip = "127.0.41." + std::to_string(100 + i);
        engines.emplace_back("i-order" + std::to_string(i), "orders-app",
                             endpoint{ip, free_port(ip)}, 6);
        engines.emplace_back("i-pool" + std::to_string(i), "peridot-pool",
                             endpoint{ip, free_port(ip)}, 64);
    }
    for (const auto& each : engines)
    {
        platform.put("servers", each.id(), each.entry("ready"));
    }
    start_nodes(41, 3, platform);
    sleep_s(1);

    address_book book;
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < 12; ++i)
    {
        callers.emplace_back([&book, i] { book_orders(book, i); });
    }
    for (const node& each : nodes)
    {
        std::thread(chat, each.callers()).detach();
    }
    sleep_s(4); // Longer than stability_ms: nothing has disturbed anybody.

    // Planned work: the nodes are stopped and started again.
    std::map<std::string, double> term_at; // By the address for callers.
    std::vector<node*> in_turn;
    for (node& each : nodes)
    {
        in_turn.push_back(&each);
    }
    const double begun = now();
    std::size_t stopped = 0;
    std::map<node*, double> start_at;
    std::set<node*> restarted;
    while (now() < begun + 14)
    {
        if (has_trouble() && stopped < in_turn.size() &&
            now() >= begun + gap_s * static_cast<double>(stopped / at_a_time))
        {
            node* next = in_turn[stopped++];
            next->signal(SIGTERM);
            term_at[next->callers().text()] = now();
        }
        for (std::size_t i = 0; i < stopped; ++i)
        {
            node* each = in_turn[i];
            if (restarted.contains(each))
            {
                continue;
            }
            if (!start_at.contains(each) && each->has_exited())
            {
                start_at[each] = now() + 0.3;
            }
            if (start_at.contains(each) && now() >= start_at[each])
            {
                each->start(platform.at(), seeds_of_nodes(), false);
                restarted.insert(each);
            }
        }
        sleep_s(0.005);
    }
    stopping = true;
    for (auto& each : callers)
    {
        each.join();
    }
    sleep_s(0.5);

    const std::lock_guard first_lock(runs_mutex);
    const std::lock_guard second_lock(attempts_mutex);
    int answered = 0;
    int refused = 0;
    int unsent = 0;
    int lost = 0;
    for (const attempt& each : attempts)
    {
        answered += each.status_ == 200 ? 1 : 0;
        refused += each.status_ == 503 ? 1 : 0;
        unsent += each.sent_ == 0 ? 1 : 0;
        const run* ran = run_of(each.id_);
        if (each.status_ != 200)
        {
            record("order %s to %s: sent %.3f, ended %.3f, status %d, %s",
                   each.id_.c_str(), each.to_.text().c_str(), each.sent_,
                   each.ended_, each.status_,
                   ran == nullptr ? "no server ran it" : "a server ran it");
        }
        const auto term = term_at.find(each.to_.text());
        if (each.sent_ == 0 || each.whole_ || each.gave_up_ || ran == nullptr ||
            term == term_at.end())
        {
            continue;
        }
        const double after = each.sent_ - term->second;
        const double end_after = each.ended_ - term->second;
        const bool in_window = after > 0 && end_after <= grace_s + 1;
        const bool over_time = each.ended_ - each.sent_ >= order_timeout_s;
        // Excused: sent no later than 3 s after the signal and still at work
        // in the last sixth of the grace time.
        const bool excused = after <= 3 && end_after >= grace_s * 5 / 6;
        if (in_window && !over_time && !excused)
        {
            ++lost;
            record("LOST: order %s was sent to %s %.3f s after its SIGTERM, "
                   "server %s began it %.3f s after that, and the connection "
                   "ended %.3f s after the SIGTERM without an answer",
                   each.id_.c_str(), each.to_.text().c_str(), after,
                   ran->server_.c_str(), ran->arrived_ - each.sent_, end_after);
        }
    }
    record("orders: %zu, answered 200: %d, refused 503: %d, not sent: %d, "
           "lost: %d",
           attempts.size(), answered, refused, unsent, lost);
    std::cout << "orders " << attempts.size() << ", answered " << answered
              << ", refused " << refused << ", lost " << lost << "\n";
    if (answered < 100)
    {
        could_not_run("too few orders were answered");
    }
    leave(lost > 0 ? 1 : 0);
}
