#include "dispatch/resend_loans.hpp"

#include <algorithm>

namespace peridotspar::dispatch
{

namespace
{

using namespace std::chrono_literals;

/// Peers are asked at most so often for a service.
constexpr duration request_interval = 50ms;
/// Loans have arrived this long after they were asked for, or are lost.
constexpr duration loan_wait = 200ms;
/// Peers that are asked at once.
constexpr std::size_t max_peers_asked = 64;
/// More is asked for than is wanted, as some peers have lent theirs meanwhile.
constexpr double asked_share = 1.5;
/// A report is used for this long; idle nodes of a fleet of 350 send one each
/// 5.8 s.
constexpr duration report_lifetime = 15s;
/// A peer gets at most this share of what is unused, so that a lender keeps a
/// part for its own streams.
constexpr double lendable_share = 0.5;
/// Less isn't worth a message.
constexpr double min_loan = 0.05;
/// Allows for rounding of sums of fractions.
constexpr double tolerance = 1e-6;

} // namespace

void resend_loans::drop_expired(service_loans& r_loans, time_point p_now)
{
    std::erase_if(r_loans.received_,
                  [&](const loan& p_loan) { return p_loan.until_ < p_now; });
}

double resend_loans::total(const service_loans& p_loans)
{
    double sum = 0;
    for (const auto& loan : p_loans.received_)
    {
        sum += loan.resends_;
    }
    return sum;
}

void resend_loans::spend(service_loans& r_loans, double p_resends)
{
    while (p_resends > 0 && !r_loans.received_.empty())
    {
        auto& oldest = r_loans.received_.front();
        const double spent = std::min(oldest.resends_, p_resends);
        oldest.resends_ -= spent;
        p_resends -= spent;
        if (oldest.resends_ <= 0)
        {
            r_loans.received_.pop_front();
        }
    }
}

resend_decision
resend_loans::try_consume_for_begun(const routing::service_name& p_service,
                                    std::uint64_t p_request, time_point p_now)
{
    if (own_.try_consume(p_service, p_now))
    {
        return resend_decision::allowed;
    }
    auto& loans = services_[p_service];
    drop_expired(loans, p_now);
    const double own = std::max(0.0, own_.unused(p_service, p_now));
    if (own + total(loans) >= 1 - tolerance)
    {
        own_.consume(p_service, own, p_now);
        spend(loans, 1 - own);
        return resend_decision::allowed;
    }
    const bool may_borrow = std::any_of(
        loans.peers_.begin(), loans.peers_.end(),
        [&](const auto& p_peer) { return p_peer.second.lendable_ > min_loan; });
    if (!may_borrow && p_now >= loans.awaited_until_)
    {
        return resend_decision::refused;
    }
    loans.wanting_.insert(p_request);
    return resend_decision::asked;
}

std::map<routing::service_name, double> resend_loans::lendable(time_point p_now)
{
    auto amounts = own_.unused(p_now);
    for (auto& [service, amount] : amounts)
    {
        amount *= lendable_share;
    }
    std::erase_if(amounts,
                  [](const auto& p_item) { return p_item.second < min_loan; });
    return amounts;
}

void resend_loans::record_peer(
    const std::string& p_peer,
    const std::map<routing::service_name, double>& p_lendable, time_point p_now)
{
    for (auto& [service, loans] : services_)
    {
        loans.peers_.erase(p_peer);
    }
    for (const auto& [service, amount] : p_lendable)
    {
        services_[service].peers_[p_peer] = {amount, p_now};
    }
}

void resend_loans::add_requests(const routing::service_name& p_service,
                                service_loans& r_loans, time_point p_now,
                                std::vector<resend_loan>& r_requests)
{
    std::erase_if(r_loans.peers_, [&](const auto& p_peer)
                  { return p_now - p_peer.second.at_ > report_lifetime; });
    std::vector<std::pair<double, std::string>> lenders;
    for (const auto& [peer, report] : r_loans.peers_)
    {
        lenders.emplace_back(report.lendable_, peer);
    }
    std::sort(lenders.rbegin(), lenders.rend());
    double missing =
        asked_share * static_cast<double>(r_loans.wanting_.size()) -
        total(r_loans);
    std::size_t asked = 0;
    for (const auto& [lendable, peer] : lenders)
    {
        if (missing <= 0 || asked++ >= max_peers_asked || lendable < min_loan)
        {
            break;
        }
        const double amount = std::min(lendable, missing);
        r_requests.push_back({peer, p_service, p_now, amount});
        r_loans.peers_[peer].lendable_ -= amount;
        missing -= amount;
        r_loans.awaited_until_ = p_now + loan_wait;
    }
}

std::vector<resend_loan> resend_loans::take_requests(time_point p_now)
{
    std::vector<resend_loan> requests;
    for (auto& [service, loans] : services_)
    {
        if (loans.wanting_.empty() || p_now < loans.next_request_)
        {
            continue;
        }
        drop_expired(loans, p_now);
        add_requests(service, loans, p_now, requests);
        loans.wanting_.clear();
        loans.next_request_ = p_now + request_interval;
    }
    return requests;
}

double resend_loans::lend(const resend_loan& p_asked, time_point p_now)
{
    const double unused = own_.unused(p_asked.service_, p_now);
    const double lent = std::min(p_asked.resends_, lendable_share * unused);
    if (!(lent >= min_loan))
    {
        return 0;
    }
    own_.lend(p_asked.service_, lent, p_now + loan_lifetime, p_now);
    return lent;
}

void resend_loans::receive(const resend_loan& p_loan, time_point p_now)
{
    const bool is_valid =
        p_loan.asked_at_ <= p_now && p_now - p_loan.asked_at_ <= loan_lifetime;
    if (!is_valid || !(p_loan.resends_ > 0))
    {
        return;
    }
    auto& loans = services_[p_loan.service_];
    drop_expired(loans, p_now);
    loans.received_.push_back(
        {p_loan.resends_, p_loan.asked_at_ + loan_lifetime});
}

} // namespace peridotspar::dispatch
