#include "dispatch/wait_queue.hpp"
#include "tests/dispatch/engine_fixture.hpp"

#include <map>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

/// A node before ten engines that do what it expects of them.
struct node
{
    void arrive(const work& p_work, waiter_id p_id)
    {
        waiting_[p_id] = p_work;
        const duration reading =
            rig_.placement_.least_reading(p_work, p_work.arrived_);
        if (!line_.holds_back(p_work, reading) && place(p_id, p_work.arrived_))
        {
            return;
        }
        line_.add(p_work, p_id, reading);
    }
    void tick(time_point p_now)
    {
        auto& servers = rig_.placement_.servers();
        for (auto each = unread_.begin();
             each != unread_.end() && each->first <= p_now;
             each = unread_.erase(each))
        {
            auto& [read, chosen] = each->second;
            servers.note_first_answer(read, chosen, each->first);
            running_.emplace(p_now + 1s, chosen);
        }
        for (auto each = running_.begin();
             each != running_.end() && each->first <= p_now;
             each = running_.erase(each))
        {
            servers.note_end(each->second, send_result::answered, p_now);
        }
        line_.offer([&](waiter_id p_id) { return place(p_id, p_now); });
    }
    bool place(waiter_id p_id, time_point p_now)
    {
        const work& work = waiting_.at(p_id);
        const auto chosen = rig_.placement_.choose(work, {}, p_now, true);
        if (!chosen)
        {
            return false;
        }
        rig_.placement_.servers().note_sent(work, *chosen, p_now);
        unread_.emplace(chosen->answer_at_, std::pair(work, *chosen));
        waits_[p_id] = p_now - work.arrived_;
        return true;
    }

    engine_rig rig_;
    waiting_line line_;
    std::map<waiter_id, work> waiting_;
    std::map<waiter_id, duration> waits_; ///< Of those that were placed.
    std::multimap<time_point, std::pair<work, placed>> unread_;
    std::multimap<time_point, placed> running_; ///< By their end.
};

} // namespace

TEST_CASE("the line puts the most urgent first, then the first to come")
{
    waiting_line line;
    auto low = engine_rig::long_work(1);
    auto high = engine_rig::short_work(2);
    high.arrived_ = start + 1s;
    line.add(low, 1, 100ms);
    line.add(high, 2, 30ms);
    CHECK(line.ahead_of(low) == 30ms);
    CHECK(line.ahead_of(high) == 0ms);
    CHECK(line.all().at(engines).begin()->first.id_ == 2);
    line.remove(high, 2);
    line.remove(high, 2);
    CHECK(line.size() == 1);
    CHECK(line.ahead_of(low) == 0ms);
}

TEST_CASE("of the same priority, what is due sooner goes first")
{
    waiting_line line;
    const auto document = engine_rig::long_work(1);
    auto question = engine_rig::short_work(2);
    question.priority_ = document.priority_;
    question.arrived_ = start + 1s;
    line.add(document, 1, 280ms);
    CHECK(line.ahead_of(question) == 0ms);
    line.add(question, 2, 25ms);
    CHECK(line.ahead_of(document) == 25ms);
}

TEST_CASE("a request isn't held back by much larger ones, nor they by none")
{
    waiting_line line;
    auto document = engine_rig::long_work(1);
    auto question = engine_rig::short_work(2);
    document.priority_ = 0;
    question.priority_ = 1;
    line.add(document, 1, 280ms);
    CHECK_FALSE(line.holds_back(question, 25ms));
    CHECK(line.holds_back(question, 150ms));
    line.add(question, 2, 25ms);
    std::vector<waiter_id> offered;
    line.offer(
        [&](waiter_id p_id)
        {
            offered.push_back(p_id);
            return p_id == 2;
        });
    CHECK(offered == std::vector<waiter_id>{1, 2});
    CHECK(line.size() == 1);
}

TEST_CASE("a larger request isn't tried before a smaller one that found none")
{
    waiting_line line;
    auto document = engine_rig::long_work(1);
    document.priority_ = 1;
    auto question = engine_rig::short_work(2);
    question.priority_ = 1;
    line.add(document, 1, 280ms);
    line.add(question, 2, 25ms);
    std::vector<waiter_id> offered;
    line.offer(
        [&](waiter_id p_id)
        {
            offered.push_back(p_id);
            return false;
        });
    CHECK(offered == std::vector<waiter_id>{2});
}

TEST_CASE("questions don't wait behind a burst of cold documents")
{
    // All of one account, so of one priority; engines keep nothing yet.
    node n;
    waiter_id next = 1;
    std::vector<waiter_id> questions;
    for (int step = 0; step < 2500; step += 5)
    {
        const auto now = start + std::chrono::milliseconds(step);
        auto document = engine_rig::long_work(1000 + next);
        document.priority_ = 1;
        document.arrived_ = now;
        document.give_up_at_ = now + 10s;
        if (step % 25 == 0)
        {
            n.arrive(document, next++);
        }
        auto question = engine_rig::short_work(900000 + next);
        question.priority_ = 1;
        question.arrived_ = now;
        if (step % 50 == 0)
        {
            questions.push_back(next);
            n.arrive(question, next++);
        }
        if (step % 20 == 0)
        {
            n.tick(now);
        }
    }
    for (const waiter_id id : questions)
    {
        REQUIRE(n.waits_.contains(id));
        CHECK(n.waits_.at(id) <= 100ms);
    }
}
