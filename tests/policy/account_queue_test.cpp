#include "policy/account_queue.hpp"

#include <map>

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace peridotspar::policy;

namespace
{

bool any_account(account_index)
{
    return true;
}

} // namespace

TEST_CASE("accounts are served by weight, not by number of queued requests")
{
    account_queue queue;
    std::map<std::uint64_t, account_index> owners;
    const auto fill = [&](std::uint32_t p_account, std::uint64_t p_count)
    {
        for (std::uint64_t i = 0; i < p_count; ++i)
        {
            const std::uint64_t id = p_account * 1000 + i;
            owners.emplace(id, account_index(p_account));
            queue.push_back(request_id(id), account_index(p_account));
        }
    };
    fill(0, 300);
    fill(1, 100);
    const std::map<std::uint32_t, double> weights{{0, 1.0}, {1, 3.0}};
    std::map<std::uint32_t, int> served;
    for (int i = 0; i < 80; ++i)
    {
        const auto next = queue.peek(any_account);
        REQUIRE(next);
        const auto account = owners.at(next->value());
        queue.remove(*next, account);
        queue.charge(account, 10 / weights.at(account.value()));
        ++served[account.value()];
    }
    CHECK(served[0] >= 18);
    CHECK(served[0] <= 22);
}

TEST_CASE("an idle account gets no credit for the time without requests")
{
    account_queue queue;
    for (std::uint64_t i = 0; i < 50; ++i)
    {
        queue.push_back(request_id(i), account_index(0));
        queue.remove(request_id(i), account_index(0));
        queue.charge(account_index(0), 10);
    }
    queue.push_back(request_id(100), account_index(0));
    queue.push_back(request_id(200), account_index(1));
    queue.push_back(request_id(201), account_index(1));
    int served_of_new_account = 0;
    for (int i = 0; i < 2; ++i)
    {
        const auto next = queue.peek(any_account);
        const bool is_new = next->value() >= 200;
        served_of_new_account += is_new ? 1 : 0;
        const account_index owner(is_new ? 1 : 0);
        queue.remove(*next, owner);
        queue.charge(owner, 10);
    }
    CHECK(served_of_new_account == 1);
}

TEST_CASE("accounts that aren't eligible are skipped, and size stays correct")
{
    account_queue queue;
    queue.push_back(request_id(1), account_index(0));
    queue.push_back(request_id(2), account_index(1));
    const auto next = queue.peek([](account_index p_account)
                                 { return p_account == account_index(1); });
    CHECK(next == request_id(2));
    CHECK(queue.size() == 2);
    CHECK(queue.remove(request_id(2), account_index(1)));
    CHECK_FALSE(queue.remove(request_id(2), account_index(1)));
    CHECK(queue.size() == 1);
    queue.push_front(request_id(3), account_index(0));
    CHECK(queue.peek(any_account) == request_id(3));
}
