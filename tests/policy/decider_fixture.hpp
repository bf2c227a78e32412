#pragma once

#include "policy/decider.hpp"

namespace peridotspar::policy
{

using namespace std::chrono_literals;

/// A decider with a manual clock, one pool, and classes of tiers 0 and 2.
class decider_fixture
{
public:
    explicit decider_fixture(std::uint32_t p_engines = 2,
                             std::uint32_t p_slots = 1)
        : decider_(node_id("n1"), failure_domain_id("fd"), 1)
    {
        catalogue_.classes_ = {{"high", tier(0), 1800ms, 34ms, 1500ms},
                               {"low", tier(2), 5000ms, 50ms, 4000ms}};
        catalogue_.accounts_ = {{"a", 1e9, 1000, 1}, {"b", 100, 2, 1}};
        catalogue_.pools_ = {{"p", true}};
        for (std::uint32_t i = 0; i < p_engines; ++i)
        {
            catalogue_.backends_.push_back({"e" + std::to_string(i),
                                            p_slots,
                                            failure_domain_id("fd"),
                                            true,
                                            {pool_index(0)},
                                            ""});
        }
        handle(catalogue_changed{std::make_shared<catalogue>(catalogue_)});
    }

    void handle(const event& p_event)
    {
        actions_.clear();
        decider_.handle(p_event, now_, actions_);
    }

    void advance(duration p_time)
    {
        for (duration spent{0}; spent < p_time; spent += 20ms)
        {
            now_ += 20ms;
            std::vector<action> tick_actions;
            decider_.handle(clock_ticked{}, now_, tick_actions);
            tick_actions_.insert(tick_actions_.end(), tick_actions.begin(),
                                 tick_actions.end());
        }
    }

    /// Submits a request whose prompt has a part that others share.
    void submit_with_part(std::uint64_t p_part)
    {
        request wanted;
        wanted.id_ = request_id(++last_request_id_);
        wanted.account_ = account_index(0);
        wanted.class_ = class_index(0);
        wanted.pool_ = pool_index(0);
        wanted.fingerprint_ = fingerprint(1000 + last_request_id_);
        wanted.idempotent_ = false;
        wanted.suspects_ = {{quarantine::suspect_key(p_part), 1},
                            {quarantine::suspect_key(1000 + last_request_id_),
                             quarantine::whole_request}};
        handle(request_arrived{wanted});
    }

    request_id submit(std::uint32_t p_class, bool p_idempotent = true,
                      std::uint32_t p_account = 0,
                      std::uint64_t p_fingerprint = 0,
                      std::optional<duration> p_time_left = std::nullopt)
    {
        request wanted;
        wanted.id_ = request_id(++last_request_id_);
        wanted.account_ = account_index(p_account);
        wanted.class_ = class_index(p_class);
        wanted.pool_ = pool_index(0);
        wanted.fingerprint_ = fingerprint(
            p_fingerprint == 0 ? 1000 + last_request_id_ : p_fingerprint);
        wanted.idempotent_ = p_idempotent;
        if (p_time_left)
        {
            wanted.deadline_ = now_ + *p_time_left;
        }
        handle(request_arrived{wanted});
        return wanted.id_;
    }

    void end_attempt(const dispatch& p_sent, attempt_result p_result)
    {
        handle(attempt_ended{p_sent.attempt_, p_result});
    }

    template <class Kind>
    [[nodiscard]] const Kind* find_action() const
    {
        return find_in<Kind>(actions_);
    }
    template <class Kind>
    [[nodiscard]] const Kind* find_tick_action() const
    {
        return find_in<Kind>(tick_actions_);
    }

    decider decider_;
    catalogue catalogue_;
    std::vector<action> actions_;
    std::vector<action> tick_actions_;
    time_point now_{1h};

private:
    template <class Kind>
    [[nodiscard]] static const Kind*
    find_in(const std::vector<action>& p_actions)
    {
        for (const auto& wanted : p_actions)
        {
            if (const auto* found = std::get_if<Kind>(&wanted))
            {
                return found;
            }
        }
        return nullptr;
    }

    std::uint64_t last_request_id_ = 0;
};

} // namespace peridotspar::policy
