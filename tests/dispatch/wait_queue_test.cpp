#include "dispatch/wait_queue.hpp"
#include "tests/dispatch/engine_fixture.hpp"

#include <map>

using namespace peridotspar;
using namespace peridotspar::dispatch;
using namespace std::chrono_literals;

namespace
{

/// A node with ten engines that are exactly as fast as it expects.
struct node
{
    void arrive(const request_profile& p_request, queued_request_id p_id)
    {
        requests_[p_id] = p_request;
        const duration prefill_time =
            fixture_.placement_.min_prefill_time(p_request, p_request.arrived_);
        if (!queue_.is_blocked(p_request, prefill_time) &&
            try_dispatch(p_id, p_request.arrived_))
        {
            return;
        }
        queue_.add(p_request, p_id, prefill_time);
    }
    void tick(time_point p_now)
    {
        auto& servers = fixture_.placement_.servers();
        for (auto it = pending_.begin();
             it != pending_.end() && it->first <= p_now;
             it = pending_.erase(it))
        {
            auto& [request, chosen] = it->second;
            servers.record_first_answer(request, chosen, it->first);
            running_.emplace(p_now + 1s, chosen);
        }
        for (auto it = running_.begin();
             it != running_.end() && it->first <= p_now;
             it = running_.erase(it))
        {
            servers.record_end(it->second, send_result::answered, p_now);
        }
        queue_.try_dispatch([&](queued_request_id p_id)
                            { return try_dispatch(p_id, p_now); });
    }
    bool try_dispatch(queued_request_id p_id, time_point p_now)
    {
        const request_profile& request = requests_.at(p_id);
        const auto chosen =
            fixture_.placement_.choose(request, {}, p_now, true);
        if (!chosen)
        {
            return false;
        }
        fixture_.placement_.servers().record_sent(request, *chosen, p_now);
        pending_.emplace(chosen->expected_answer_at_,
                         std::pair(request, *chosen));
        waits_[p_id] = p_now - request.arrived_;
        return true;
    }

    engine_fixture fixture_;
    wait_queue queue_;
    std::map<queued_request_id, request_profile> requests_;
    /// Of the requests that were dispatched.
    std::map<queued_request_id, duration> waits_;
    std::multimap<time_point, std::pair<request_profile, assignment>> pending_;
    std::multimap<time_point, assignment> running_; ///< By the time they end.
};

} // namespace

TEST_CASE("the queue is ordered by priority, then by arrival")
{
    wait_queue queue;
    auto low = engine_fixture::long_request(1);
    auto high = engine_fixture::short_request(2);
    high.arrived_ = start + 1s;
    queue.add(low, 1, 100ms);
    queue.add(high, 2, 30ms);
    CHECK(queue.prefill_ahead_of(low) == 30ms);
    CHECK(queue.prefill_ahead_of(high) == 0ms);
    CHECK(queue.queues().at(engines).begin()->first.id_ == 2);
    queue.remove(high, 2);
    queue.remove(high, 2);
    CHECK(queue.size() == 1);
    CHECK(queue.prefill_ahead_of(low) == 0ms);
}

TEST_CASE("within a priority the request with the shorter target is first")
{
    wait_queue queue;
    const auto document = engine_fixture::long_request(1);
    auto question = engine_fixture::short_request(2);
    question.priority_ = document.priority_;
    question.arrived_ = start + 1s;
    queue.add(document, 1, 280ms);
    CHECK(queue.prefill_ahead_of(question) == 0ms);
    queue.add(question, 2, 25ms);
    CHECK(queue.prefill_ahead_of(document) == 25ms);
}

TEST_CASE(
    "a request is blocked by similar ones ahead of it, not by much larger ones")
{
    wait_queue queue;
    auto document = engine_fixture::long_request(1);
    auto question = engine_fixture::short_request(2);
    document.priority_ = 0;
    question.priority_ = 1;
    queue.add(document, 1, 280ms);
    CHECK_FALSE(queue.is_blocked(question, 25ms));
    CHECK(queue.is_blocked(question, 150ms));
    queue.add(question, 2, 25ms);
    std::vector<queued_request_id> offered;
    queue.try_dispatch(
        [&](queued_request_id p_id)
        {
            offered.push_back(p_id);
            return p_id == 2;
        });
    CHECK(offered == std::vector<queued_request_id>{1, 2});
    CHECK(queue.size() == 1);
}

TEST_CASE("a larger request isn't tried after a smaller one found no server")
{
    wait_queue queue;
    auto document = engine_fixture::long_request(1);
    document.priority_ = 1;
    auto question = engine_fixture::short_request(2);
    question.priority_ = 1;
    queue.add(document, 1, 280ms);
    queue.add(question, 2, 25ms);
    std::vector<queued_request_id> offered;
    queue.try_dispatch(
        [&](queued_request_id p_id)
        {
            offered.push_back(p_id);
            return false;
        });
    CHECK(offered == std::vector<queued_request_id>{2});
}

TEST_CASE("short prompts don't wait behind a burst of uncached documents")
{
    // All requests have the same priority, as those of one account; nothing is
    // cached yet.
    node n;
    queued_request_id next = 1;
    std::vector<queued_request_id> questions;
    for (int step = 0; step < 2500; step += 5)
    {
        const auto now = start + std::chrono::milliseconds(step);
        auto document = engine_fixture::long_request(1000 + next);
        document.priority_ = 1;
        document.arrived_ = now;
        document.give_up_at_ = now + 10s;
        if (step % 25 == 0)
        {
            n.arrive(document, next++);
        }
        auto question = engine_fixture::short_request(900000 + next);
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
    for (const queued_request_id id : questions)
    {
        REQUIRE(n.waits_.contains(id));
        CHECK(n.waits_.at(id) <= 100ms);
    }
}
