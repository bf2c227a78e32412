#pragma once

#include "dispatch/resend_budget.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace peridotspar::dispatch
{

/// What a borrower asks of a peer, and what the peer lends it.
struct resend_loan
{
    std::string peer_; ///< Whom to send it to.
    routing::service_name service_;
    /// When the borrower asked, by the borrower's clock; returned unchanged.
    time_point asked_at_{};
    double resends_ = 0;
};

enum class resend_decision : std::uint8_t
{
    allowed,
    asked,   ///< Peers will be asked; try again within `loan_lifetime`.
    refused, ///< Used up, as far as this node knows also at its peers.
};

/// The retry budget of this node with what its peers lend it.
///
/// The sum over all nodes stays that of the nodes' own parts, whatever is lost,
/// late or asked at the same moment: a lender counts what it lends as consumed,
/// until a window after the borrower's last moment to use it, and the borrower
/// spends only that. What peers report as unused decides only whom to ask.
/// Resends are fractions in loans, as a small node's part is below one.
///
/// It has no clock and does no I/O; the caller carries the messages. Not
/// thread-safe.
class resend_loans
{
public:
    /// A loan may be used until this long after it was asked for.
    static constexpr duration loan_lifetime = std::chrono::seconds(1);

    explicit resend_loans(resend_limits p_limits) : own_(p_limits) {}

    void set_node_count(std::size_t p_node_count)
    {
        own_.set_node_count(p_node_count);
    }
    void record_request(const routing::service_name& p_service,
                        time_point p_now)
    {
        own_.record_request(p_service, p_now);
    }
    /// Consumes one resend of this node's own part.
    [[nodiscard]] bool try_consume(const routing::service_name& p_service,
                                   time_point p_now)
    {
        return own_.try_consume(p_service, p_now);
    }
    /// Consumes one resend for a stream of which the caller has a part, of this
    /// node's own part or of loans; asks peers if both are used up. A request
    /// that waits for loans may call again as often as it likes; `p_request`
    /// tells the requests apart.
    [[nodiscard]] resend_decision
    try_consume_for_begun(const routing::service_name& p_service,
                          std::uint64_t p_request, time_point p_now);

    /// What this node may lend, by service; services with none are left out.
    [[nodiscard]] std::map<routing::service_name, double>
    lendable(time_point p_now);
    /// Replaces what a peer said that it may lend.
    void record_peer(const std::string& p_peer,
                     const std::map<routing::service_name, double>& p_lendable,
                     time_point p_now);
    /// What to ask peers for now. Call regularly.
    [[nodiscard]] std::vector<resend_loan> take_requests(time_point p_now);
    /// Lends what a peer asked for, as far as there is; zero if there is none.
    [[nodiscard]] double lend(const resend_loan& p_asked, time_point p_now);
    /// Takes a loan over; one that was asked for too long ago is ignored. Each
    /// loan may be passed once only.
    void receive(const resend_loan& p_loan, time_point p_now);

private:
    struct report
    {
        double lendable_ = 0;
        time_point at_{};
    };
    struct loan
    {
        double resends_ = 0;
        time_point until_{};
    };
    struct service_loans
    {
        std::map<std::string, report> peers_;
        std::deque<loan> received_;
        /// Begun streams that lacked a resend since peers were last asked.
        std::set<std::uint64_t> wanting_;
        time_point next_request_{};
        time_point awaited_until_{}; ///< Loans may still be on their way.
    };
    static void drop_expired(service_loans& r_loans, time_point p_now);
    [[nodiscard]] static double total(const service_loans& p_loans);
    static void spend(service_loans& r_loans, double p_resends);
    static void add_requests(const routing::service_name& p_service,
                             service_loans& r_loans, time_point p_now,
                             std::vector<resend_loan>& r_requests);

    resend_budget own_;
    std::map<routing::service_name, service_loans> services_;
};

} // namespace peridotspar::dispatch
