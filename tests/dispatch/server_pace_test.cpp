#include "dispatch/server_pace.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

const time_point start{1h};
constexpr unsigned slots = 16;
const std::string server = "s@1";

std::string address(std::size_t p_node)
{
    return "10.0." + std::to_string(p_node / 250) + "." +
           std::to_string(p_node % 250) + ":7000";
}

std::vector<std::string> addresses(std::size_t p_nodes)
{
    std::vector<std::string> all;
    for (std::size_t i = 0; i < p_nodes; ++i)
    {
        all.push_back(address(i));
    }
    return all;
}

/// One of two nodes; the other one is only a name.
server_pace one_of_two()
{
    server_pace made;
    made.set_self(address(0));
    made.set_nodes(addresses(2));
    return made;
}

/// How the server behaves for its first time. It says nothing of it.
struct slow_start
{
    duration time_{};
    double slowdown_ = 1;
    bool fails_ = false;
};

struct loop_result
{
    /// The most requests at the server.
    std::size_t most_ = 0;
    /// The most requests above the highest level that any node has then, while
    /// all nodes pace.
    int most_over_level_ = 0;
    /// Bad answers to requests that were sent while any node paces, or in the
    /// first 2 s without pacing.
    std::size_t bad_ = 0;
    std::size_t sent_ = 0;       ///< All requests.
    std::size_t killed_ = 0;     ///< Nodes.
    duration full_use_after_{};  ///< All slots were in use for the first time.
    duration all_ended_after_{}; ///< No node paces any more.
    duration longest_idle_{};
};

/// Nodes that all have requests waiting for one server, and reports between
/// them that take 50 to 400 ms.
class loop
{
public:
    /// `p_busy_share`: share of the nodes that have requests. `p_lost_share`:
    /// share of the messages that are lost.
    loop(std::size_t p_nodes, slow_start p_slow, bool p_paced,
         double p_busy_share = 1, double p_lost_share = 0, unsigned p_seed = 7)
        : slow_(p_slow),
          paced_(p_paced),
          lost_share_(p_lost_share),
          nodes_(p_nodes),
          random_(p_seed)
    {
        std::bernoulli_distribution is_busy(p_busy_share);
        for (std::size_t i = 0; i < p_nodes; ++i)
        {
            nodes_[i].pace_.set_self(address(i));
            nodes_[i].pace_.set_nodes(addresses(p_nodes));
            // The nodes learn of the server at different times.
            nodes_[i].begins_at_ = start + delay();
            nodes_[i].has_requests_ = is_busy(random_);
        }
    }

    /// All nodes with requests at the server die at that time. The others miss
    /// them a time later.
    void kill_senders(time_point p_at, duration p_missed_after)
    {
        kill_at_ = p_at;
        missed_at_ = p_at + p_missed_after;
    }

    loop_result run(duration p_time)
    {
        for (now_ = start; now_ < start + p_time; now_ += step)
        {
            begin_paces();
            kill();
            deliver();
            complete();
            send();
            measure();
        }
        return result_;
    }

private:
    static constexpr duration step = 5ms;
    static constexpr duration service_time = 200ms;
    static constexpr duration failure_time = 20ms;
    /// Requests that all nodes together try to send outside of pacing.
    static constexpr double attempts_per_s = 100;

    struct node
    {
        server_pace pace_;
        time_point begins_at_{};
        bool has_begun_ = false;
        bool has_requests_ = true;
        bool is_dead_ = false;
        unsigned own_ = 0;
    };
    struct message
    {
        time_point due_;
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        pace_report report_;
        bool operator>(const message& p_other) const
        {
            return due_ > p_other.due_;
        }
    };
    struct request
    {
        std::size_t node_ = 0;
        time_point sent_at_{};
        time_point ends_at_{};    ///< Once it has a slot.
        bool is_counted_ = false; ///< In the number of bad answers.
    };

    duration delay()
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<int>(50, 400)(random_));
    }
    bool is_slow() const { return now_ < start + slow_.time_; }
    std::size_t at_server() const { return running_.size() + queued_.size(); }

    void begin_paces()
    {
        for (node& each : nodes_)
        {
            if (!each.has_begun_ && now_ >= each.begins_at_)
            {
                each.has_begun_ = true;
                if (paced_)
                {
                    each.pace_.begin(server, slots, pace_cause::started, now_);
                }
            }
        }
    }
    void kill()
    {
        if (now_ == kill_at_)
        {
            for (node& each : nodes_)
            {
                each.is_dead_ = each.own_ > 0;
                result_.killed_ += each.is_dead_ ? 1 : 0;
            }
            const auto is_gone = [this](const request& p_request)
            { return nodes_[p_request.node_].is_dead_; };
            std::erase_if(running_, is_gone);
            std::erase_if(queued_, is_gone);
        }
        if (now_ != missed_at_)
        {
            return;
        }
        std::vector<std::string> live;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if (!nodes_[i].is_dead_)
            {
                live.push_back(address(i));
            }
        }
        for (node& each : nodes_)
        {
            each.pace_.set_nodes(live);
        }
    }
    void deliver()
    {
        while (!messages_.empty() && messages_.top().due_ <= now_)
        {
            const message& received = messages_.top();
            nodes_[received.to_].pace_.record_peer(address(received.from_),
                                                   received.report_, now_);
            messages_.pop();
        }
        for (std::size_t from = 0; from < nodes_.size(); ++from)
        {
            // Other digests repeat the counts.
            const bool is_repeated =
                (now_ - start) % 500ms == from % 100 * step;
            if (nodes_[from].is_dead_ ||
                (!nodes_[from].pace_.take_news() && !is_repeated))
            {
                continue;
            }
            for (const auto& report : nodes_[from].pace_.take_reports(now_))
            {
                for (std::size_t to = 0; to < nodes_.size(); ++to)
                {
                    if (!std::bernoulli_distribution(lost_share_)(random_))
                    {
                        messages_.push({now_ + delay(), from, to, report});
                    }
                }
            }
        }
    }
    void start_queued()
    {
        while (running_.size() < slots && !queued_.empty())
        {
            request next = queued_.front();
            queued_.pop_front();
            const duration taken = from_seconds(
                to_seconds(service_time) * (is_slow() ? slow_.slowdown_ : 1));
            next.ends_at_ =
                now_ + (is_slow() && slow_.fails_ ? failure_time : taken);
            running_.push_back(next);
        }
    }
    void complete()
    {
        const bool fails = is_slow() && slow_.fails_;
        std::erase_if(running_,
                      [&](const request& p_done)
                      {
                          if (p_done.ends_at_ > now_)
                          {
                              return false;
                          }
                          node& sender = nodes_[p_done.node_];
                          --sender.own_;
                          const bool good = !fails && now_ - p_done.sent_at_ <=
                                                          service_time * 3 / 2;
                          result_.bad_ += !good && p_done.is_counted_ ? 1 : 0;
                          sender.pace_.record_answer(server, good, now_);
                          return true;
                      });
        start_queued();
    }
    /// Requests of other nodes at the server, as known to a node.
    std::size_t known_at_server(const node& p_node)
    {
        const auto age = static_cast<std::size_t>(delay() / step);
        const std::size_t then =
            history_.size() > age ? history_[history_.size() - 1 - age] : 0;
        return then - std::min<std::size_t>(then, p_node.own_);
    }
    bool may_send(node& r_node)
    {
        const auto peers = static_cast<unsigned>(known_at_server(r_node));
        if (r_node.pace_.is_paced(server, now_))
        {
            return r_node.pace_.may_send(server, r_node.own_, now_, peers);
        }
        const bool is_first = now_ - r_node.begins_at_ < step && !paced_;
        const double tries = is_first ? 1
                                      : attempts_per_s * to_seconds(step) /
                                            static_cast<double>(nodes_.size());
        return std::bernoulli_distribution(tries)(random_) &&
               peers + r_node.own_ < slots;
    }
    void send()
    {
        const std::size_t first = random_() % nodes_.size();
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            const std::size_t index = (first + i) % nodes_.size();
            node& sender = nodes_[index];
            const bool sends = sender.has_begun_ && sender.has_requests_ &&
                               !sender.is_dead_ && may_send(sender);
            if (sends)
            {
                ++result_.sent_;
                ++sender.own_;
                queued_.push_back({index, now_, {}, is_measured()});
            }
        }
        start_queued();
        history_.push_back(at_server());
    }
    bool is_measured() const
    {
        return now_ < start + 2s || (paced_ && any_paced_);
    }
    void measure()
    {
        any_paced_ = false;
        bool all_paced = true;
        unsigned highest = 0;
        for (const node& each : nodes_)
        {
            if (each.is_dead_)
            {
                continue;
            }
            const bool is_paced = each.pace_.is_paced(server, now_);
            any_paced_ |= is_paced;
            all_paced &= is_paced || !each.has_begun_;
            if (each.has_begun_)
            {
                highest = std::max(highest, each.pace_.level(server, now_));
            }
        }
        const std::size_t count = at_server();
        result_.most_ =
            is_measured() ? std::max(result_.most_, count) : result_.most_;
        if (count > 0)
        {
            last_busy_ = now_;
        }
        result_.longest_idle_ =
            std::max(result_.longest_idle_, now_ - last_busy_);
        if (running_.size() >= slots && result_.full_use_after_ == duration{})
        {
            result_.full_use_after_ = now_ - start;
        }
        if (any_paced_)
        {
            result_.all_ended_after_ = now_ + step - start;
        }
        if (paced_ && all_paced && highest > 0)
        {
            result_.most_over_level_ =
                std::max(result_.most_over_level_,
                         static_cast<int>(count) - static_cast<int>(highest));
        }
    }

    slow_start slow_;
    bool paced_ = false;
    bool any_paced_ = false;
    double lost_share_ = 0;
    time_point kill_at_{};
    time_point missed_at_{};
    std::vector<node> nodes_;
    std::mt19937 random_;
    time_point now_ = start;
    time_point last_busy_ = start;
    std::deque<request> queued_;
    std::vector<request> running_;
    std::vector<std::size_t> history_;
    std::priority_queue<message, std::vector<message>, std::greater<>>
        messages_;
    loop_result result_;
};

void print(const std::string& p_case, std::size_t p_nodes,
           const loop_result& p_paced, const loop_result& p_at_once)
{
    MESSAGE(p_case, ", ", p_nodes, " nodes: at the server at most ",
            p_paced.most_, " (at once: ", p_at_once.most_, "), over the level ",
            p_paced.most_over_level_, ", sent ", p_paced.sent_, ", bad ",
            p_paced.bad_, " (", p_at_once.bad_, "), full use after ",
            to_seconds(p_paced.full_use_after_), " s (",
            to_seconds(p_at_once.full_use_after_), " s), pacing ended after ",
            to_seconds(p_paced.all_ended_after_), " s, idle at most ",
            to_seconds(p_paced.longest_idle_), " s");
}

} // namespace

// Guards against a level of which some node disagrees for long, against an
// overload of the server by the nodes together, and against a server that is
// left idle.
TEST_CASE("paced nodes use a new server as far as it answers well")
{
    struct scenario
    {
        const char* name_;
        slow_start slow_;
        duration ends_within_;
    };
    const std::vector<scenario> scenarios{
        {"full speed", {}, 3s},
        {"slow for 2 s", {2s, 4, false}, 6s},
        {"slow for 8 s", {8s, 4, false}, 10500ms},
        {"slow for 20 s", {20s, 4, false}, 10500ms},
        {"fails for 3 s", {3s, 1, true}, 7s}};
    for (const scenario& tried : scenarios)
    {
        for (const std::size_t nodes : {9U, 85U, 350U})
        {
            CAPTURE(tried.name_);
            CAPTURE(nodes);
            const auto paced = loop(nodes, tried.slow_, true).run(14s);
            const auto at_once = loop(nodes, tried.slow_, false).run(14s);
            print(tried.name_, nodes, paced, at_once);
            for (unsigned seed = 1; seed < 5; ++seed)
            {
                CAPTURE(seed);
                const auto other =
                    loop(nodes, tried.slow_, true, 1, 0, seed).run(11s);
                CHECK(other.most_over_level_ <= 2);
                CHECK(other.all_ended_after_ <= tried.ends_within_);
                CHECK(other.longest_idle_ <= 1500ms);
            }
            CHECK(paced.most_over_level_ <= 2);
            CHECK(paced.all_ended_after_ <= tried.ends_within_);
            CHECK(paced.full_use_after_ > duration{});
            CHECK(paced.full_use_after_ <= tried.ends_within_ + 500ms);
            CHECK(paced.longest_idle_ <= 1500ms);
            CHECK(paced.most_ <= 2 * slots);
            // Few nodes can't overload a server that is at full speed.
            const bool can_overload = nodes > slots;
            CHECK(paced.bad_ <= at_once.bad_);
            CHECK((paced.bad_ < at_once.bad_ || !can_overload));
            if (can_overload && !tried.slow_.fails_)
            {
                CHECK(at_once.most_ > 3 * slots);
                CHECK(at_once.bad_ > 2 * paced.bad_);
            }
        }
    }
}

// Guards against a server that stays idle because the nodes that are ranked
// first have no requests.
TEST_CASE("a paced server is used if few of the nodes have requests")
{
    for (const std::size_t nodes : {85U, 350U})
    {
        const auto paced = loop(nodes, {}, true, 0.2).run(14s);
        print("a fifth of the nodes is busy", nodes, paced, {});
        CHECK(paced.all_ended_after_ <= 10500ms);
        CHECK(paced.longest_idle_ <= 2500ms);
        CHECK(paced.most_over_level_ <= 2);
    }
}

// Guards against counts of which a lost message deprives a peer for ever.
TEST_CASE("lost reports delay the level only")
{
    const auto paced = loop(85, {2s, 4, false}, true, 1, 0.3).run(14s);
    print("slow for 2 s, 30% of reports lost", 85, paced, {});
    CHECK(paced.most_over_level_ <= 2);
    CHECK(paced.all_ended_after_ <= 7s);
}

// Guards against a level that only nodes that don't exist any more may use.
TEST_CASE("the death of all nodes that send to a paced server delays its use")
{
    for (const std::size_t nodes : {85U, 350U})
    {
        loop tried(nodes, {2s, 4, false}, true);
        tried.kill_senders(start + 600ms, 1500ms);
        const auto paced = tried.run(14s);
        print("slow for 2 s, senders die", nodes, paced, {});
        CHECK(paced.killed_ >= 1);
        CHECK(paced.most_over_level_ <= 2);
        CHECK(paced.longest_idle_ <= 1500ms);
        CHECK(paced.all_ended_after_ <= 7s);
    }
}

TEST_CASE("the level of a server follows good and bad answers")
{
    server_pace pace = one_of_two();
    CHECK(pace.may_send(server, 99, start));
    pace.begin(server, slots, pace_cause::started, start);
    CHECK(pace.level(server, start) == 2);
    CHECK(pace.may_send(server, 0, start));
    CHECK_FALSE(pace.may_send(server, 1, start));
    pace.record_answer(server, true, start);
    CHECK(pace.level(server, start) == 2);
    pace.record_peer(address(1), {server, 1, 0}, start);
    CHECK(pace.level(server, start) == 4);
    CHECK(pace.may_send(server, 1, start));
    CHECK_FALSE(pace.may_send(server, 2, start));
    pace.record_answer(server, false, start);
    CHECK(pace.level(server, start) == 2);
    for (int i = 0; i < 5; ++i)
    {
        pace.record_answer(server, false, start);
    }
    CHECK(pace.level(server, start) == 1);
    for (unsigned good = 1; good < slots; ++good)
    {
        CHECK(pace.is_paced(server, start));
        pace.record_answer(server, true, start);
    }
    CHECK_FALSE(pace.is_paced(server, start));
    CHECK(pace.level(server, start) == slots);
    CHECK(pace.may_send(server, 99, start));
    const auto changes = pace.take_changes(start);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].end_ == pace_end::full_level);
    CHECK(changes[0].good_ == slots - 1 + 2);
    CHECK(changes[0].bad_ == 6);
    CHECK(pace.count() == 0);
}

TEST_CASE("pacing ends after 10 s, and may begin again")
{
    server_pace pace = one_of_two();
    pace.begin(server, slots, pace_cause::started, start);
    pace.record_peer(address(1), {server, 2, 9}, start);
    CHECK(pace.take_changes(start).size() == 1);
    CHECK(pace.level(server, start + 9990ms) == 1);
    CHECK(pace.level(server, start + 10s) == slots);
    CHECK(pace.may_send(server, 50, start + 10s));
    const auto changes = pace.take_changes(start + 10s);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].end_ == pace_end::time_limit);
    CHECK(pace.count() == 0);
    // Answers of the first time count no more.
    pace.begin(server, slots, pace_cause::recovered, start + 20s);
    CHECK(pace.count() == 1);
    CHECK(pace.level(server, start + 20s) == 2);
    pace.record_peer(address(1), {server, 2, 9}, start + 20s);
    CHECK(pace.level(server, start + 20s) == 2);
    pace.record_peer(address(1), {server, 4, 9}, start + 20s);
    CHECK(pace.level(server, start + 20s) == 4);
    pace.forget_absent({});
    CHECK(pace.count() == 0);
    CHECK(pace.take_changes(start + 40s).empty());
}

TEST_CASE("a peer's report replaces its earlier one, also before pacing began")
{
    server_pace pace = one_of_two();
    pace.record_peer(address(1), {server, 1, 0}, start);
    pace.record_peer(address(1), {server, 3, 0}, start);
    pace.begin(server, slots, pace_cause::started, start);
    CHECK(pace.level(server, start) == 4); // 2 + 3
    pace.record_peer(address(1), {server, 6, 0}, start);
    pace.record_peer(address(1), {server, 6, 0}, start);
    pace.record_peer(address(1), {server, 2, 0}, start); // Out of order.
    CHECK(pace.level(server, start) == 8);
}

// Guards against levels that stay apart because the answers became known in
// another order.
TEST_CASE("nodes that learn of answers in another order agree soon")
{
    server_pace first = one_of_two();
    server_pace second = one_of_two();
    for (server_pace* pace : {&first, &second})
    {
        pace->begin(server, 64, pace_cause::started, start);
    }
    first.record_peer("a", {server, 12, 0}, start);
    first.record_peer("b", {server, 0, 2}, start);
    second.record_peer("b", {server, 0, 2}, start);
    second.record_peer("a", {server, 12, 0}, start);
    CHECK(first.level(server, start) != second.level(server, start));
    const auto report = [&](const pace_report& p_report)
    {
        first.record_peer("b", p_report, start);
        second.record_peer("b", p_report, start);
        return std::pair(first.level(server, start),
                         second.level(server, start));
    };
    // Each further bad answer halves the difference, down to the same level.
    CHECK(report({server, 10, 4}) == std::pair(2U, 4U));
    CHECK(report({server, 12, 8}) == std::pair(1U, 1U));
    // Good answers make it small in proportion.
    CHECK(report({server, 43, 8}) == std::pair(32U, 32U));
}

// Guards against a server that is never tried again: its only allowed request
// hangs, or those that may send have none.
TEST_CASE("after a second without an answer another node may send")
{
    constexpr std::size_t count = 20;
    std::vector<server_pace> paces(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        paces[i].set_self(address(i));
        paces[i].set_nodes(addresses(count));
        paces[i].begin(server, slots, pace_cause::started, start);
    }
    const auto allowed = [&](time_point p_now, unsigned p_peers)
    {
        return std::count_if(
            paces.begin(), paces.end(),
            [&](const server_pace& p_pace)
            { return p_pace.may_send(server, 0, p_now, p_peers); });
    };
    CHECK(allowed(start, 2) == 2);
    CHECK(allowed(start + 990ms, 2) == 2);
    CHECK(allowed(start + 1s, 2) == 3);
    CHECK(allowed(start + 1900ms, 2) == 3);
    CHECK(allowed(start + 1s, 0) == 4);
    CHECK(allowed(start + 1400ms, 0) == 6);
    CHECK(allowed(start + 1800ms, 0) == 10);
    // An answer ends that.
    for (auto& pace : paces)
    {
        pace.record_peer("x", {server, 0, 1}, start + 1800ms);
    }
    CHECK(allowed(start + 1900ms, 0) == 1);
    // The first requests after a quiet time don't all go there.
    CHECK(allowed(start + 8s, 0) == 1);
}

TEST_CASE("reports repeat what peers may not have, while pacing goes on")
{
    server_pace pace = one_of_two();
    CHECK(pace.take_reports(start).empty());
    pace.begin(server, slots, pace_cause::started, start);
    CHECK(pace.take_reports(start).empty());
    CHECK_FALSE(pace.take_news());
    pace.record_answer(server, true, start);
    CHECK(pace.take_news());
    CHECK_FALSE(pace.take_news());
    CHECK(pace.take_reports(start).size() == 1);
    CHECK(pace.take_reports(start + 1s).at(0).good_ == 1);
    CHECK(pace.take_reports(start + 10s).size() == 0);
    // At most 32, and changed ones first.
    for (int i = 0; i < 40; ++i)
    {
        const std::string key = "t@" + std::to_string(i);
        pace.begin(key, slots, pace_cause::started, start);
        pace.record_answer(key, true, start);
    }
    std::set<std::string> told;
    for (int i = 0; i < 2; ++i)
    {
        for (const auto& report : pace.take_reports(start))
        {
            told.insert(report.server_key_);
        }
    }
    CHECK(told.size() >= 40);
}
