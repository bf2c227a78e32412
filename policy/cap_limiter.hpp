#pragma once

#include "policy/events.hpp"
#include "policy/rate_meter.hpp"
#include "policy/tuning.hpp"

#include <map>
#include <vector>

namespace peridotspar::policy
{

/// Limits each client account to this node's part of its cap: a token bucket
/// for the token rate, and a limit on concurrent requests.
///
/// By default, that part is the static share, which is the cap divided by the
/// number of listed nodes. A grant from the account's home node replaces it for
/// `tuning::cap_grant_lifetime_`. Not thread-safe.
class cap_limiter
{
public:
    /// `p_tuning` must outlive this object.
    explicit cap_limiter(const tuning& p_tuning) : tuning_(p_tuning) {}

    /// Takes over the accounts and their caps. State of accounts that are
    /// still listed is kept by name.
    void configure(const catalogue& p_catalogue);
    /// `p_listed` divides the caps; home nodes are chosen from `p_live`.
    void set_nodes(const node_id& p_self, const std::vector<node_id>& p_listed,
                   const std::vector<node_id>& p_live);

    /// Whether the account may start a request now: its balance is positive and
    /// it is below its limit on concurrent requests.
    [[nodiscard]] bool has_credit(account_index p_account, time_point p_now);
    /// Time until the balance reaches `p_tokens`, at most one hour.
    [[nodiscard]] duration time_until_credit(account_index p_account,
                                             double p_tokens, time_point p_now);
    /// Time until a new request may start behind the account's waiting ones, at
    /// most one hour. Assumes that each of them uses `p_tokens` and runs for
    /// `p_service_s` seconds.
    [[nodiscard]] duration admission_wait(account_index p_account,
                                          double p_tokens, double p_service_s,
                                          time_point p_now);
    /// Deducts tokens from the balance; a negative amount is a refund.
    void charge(account_index p_account, double p_tokens, time_point p_now);
    /// Records the predicted tokens of a new request as demand, for claims.
    void record_demand(account_index p_account, double p_tokens,
                       time_point p_now);
    /// Changes the number of the account's waiting requests.
    void adjust_waiting(account_index p_account, int p_delta);
    /// Changes the number of the account's running requests.
    void adjust_running(account_index p_account, int p_delta);

    /// Claims for the accounts that are in use on this node, by home node.
    /// Empty if no other node is live.
    [[nodiscard]] std::map<node_id, std::vector<cap_claim>>
    claims(time_point p_now);
    /// Replaces the limits of the granted accounts. Unknown accounts are
    /// ignored.
    void apply_grants(const std::vector<cap_grant>& p_grants, time_point p_now);

    /// The home node of an account, among the nodes that this node sees as
    /// live.
    [[nodiscard]] const node_id& home_of(account_index p_account) const;

private:
    struct account_state
    {
        std::string name_;
        double cap_rate_ = 0; ///< Tokens per second.
        std::uint32_t cap_concurrent_ = 0;
        std::uint32_t static_concurrent_ = 0;
        double granted_rate_ = 0; ///< Tokens per second.
        std::uint32_t granted_concurrent_ = 0;
        time_point granted_until_{};
        double balance_ = 0; ///< Tokens; negative after an overdraft.
        time_point refilled_at_{};
        int running_ = 0;
        int waiting_ = 0;
        rate_meter demand_{std::chrono::seconds(1)};
        time_point last_used_{};
    };

    /// Adds the tokens earned since the last refill.
    account_state& refill(account_index p_account, time_point p_now);
    /// Granted or static token rate, in tokens per second.
    [[nodiscard]] double token_rate(const account_state& p_state,
                                    time_point p_now) const;
    [[nodiscard]] std::uint32_t concurrency_limit(const account_state& p_state,
                                                  time_point p_now) const;
    void update_static_shares();

    const tuning& tuning_;
    node_id self_;
    std::vector<node_id> listed_;
    std::vector<node_id> live_;
    std::vector<account_state> accounts_;
};

} // namespace peridotspar::policy
