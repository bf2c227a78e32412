#pragma once

#include "policy/events.hpp"
#include "policy/rate_meter.hpp"
#include "policy/tuning.hpp"

#include <map>
#include <vector>

namespace peridotspar::policy
{

/// What this node may use of each client account's cap.
///
/// Without word from an account's home node that is the static share, the
/// cap divided by the listed nodes; a grant from the home replaces it for a
/// short time.
class cap_limiter
{
public:
    explicit cap_limiter(const tuning& p_tuning) : tuning_(p_tuning) {}

    void configure(const catalogue& p_catalogue);
    void set_nodes(const node_id& p_self, const std::vector<node_id>& p_listed,
                   const std::vector<node_id>& p_live);

    /// Whether the account may start a request now.
    [[nodiscard]] bool has_credit(account_index p_account, time_point p_now);
    /// Time until `p_tokens` more will have been paid for.
    [[nodiscard]] duration time_until_credit(account_index p_account,
                                             double p_tokens, time_point p_now);
    /// Time until a request of `p_tokens` behind the account's waiting ones
    /// may start, if each holds its place for `p_service_s`.
    [[nodiscard]] duration admission_wait(account_index p_account,
                                          double p_tokens, double p_service_s,
                                          time_point p_now);
    void charge(account_index p_account, double p_tokens, time_point p_now);
    void record_demand(account_index p_account, double p_tokens,
                       time_point p_now);
    void adjust_waiting(account_index p_account, int p_delta);
    void adjust_running(account_index p_account, int p_delta);

    /// Requests to the home nodes of the accounts that are in use here.
    [[nodiscard]] std::map<node_id, std::vector<cap_claim>>
    claims(time_point p_now);
    void apply_grants(const std::vector<cap_grant>& p_grants, time_point p_now);

    /// The home node of an account in this node's view.
    [[nodiscard]] const node_id& home_of(account_index p_account) const;

private:
    struct account_state
    {
        std::string name_;
        double cap_rate_ = 0;
        std::uint32_t cap_concurrent_ = 0;
        std::uint32_t static_concurrent_ = 0;
        double granted_rate_ = 0;
        std::uint32_t granted_concurrent_ = 0;
        time_point granted_until_{};
        double balance_ = 0;
        time_point refilled_at_{};
        int running_ = 0;
        int waiting_ = 0;
        rate_meter demand_{std::chrono::seconds(1)};
        time_point last_used_{};
    };

    account_state& refill(account_index p_account, time_point p_now);
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
