#include "daemon/wire_codec.hpp"

#include "daemon/suspect_conversion.hpp"

#include <algorithm>

namespace peridotspar
{

namespace
{

std::int64_t hash_of(backend_index p_backend, const snapshot& p_snapshot)
{
    return wire_hash(p_snapshot.catalogue_->backends_[p_backend.value()].name_);
}

std::int64_t hash_of(account_index p_account, const snapshot& p_snapshot)
{
    return wire_hash(p_snapshot.catalogue_->accounts_[p_account.value()].name_);
}

/// Counts by tier; trailing zeros are left out to save bytes.
std::vector<std::int16_t> to_wire_counts(const policy::tier_counts& p_counts)
{
    std::vector<std::int16_t> list(p_counts.begin(), p_counts.end());
    while (!list.empty() && list.back() == 0)
    {
        list.pop_back();
    }
    return list;
}

policy::tier_counts from_wire_counts(const std::vector<std::int16_t>& p_list)
{
    policy::tier_counts counts{};
    const std::size_t size = std::min(counts.size(), p_list.size());
    std::copy_n(p_list.begin(), size, counts.begin());
    return counts;
}

/// Whether an index is valid in the catalogue of a snapshot. It may not be: the
/// decision logic may use an older or newer revision than the snapshot's.
template <class Items, class Index>
bool contains_index(const Items& p_items, Index p_index)
{
    return p_index.value() < p_items.size();
}

} // namespace

wire::digest to_wire(const policy::digest& p_digest, const snapshot& p_snapshot,
                     time_point p_now)
{
    const auto& catalogue = *p_snapshot.catalogue_;
    wire::digest out;
    out.view = static_cast<std::int64_t>(p_digest.view_hash_);
    for (const auto& use : p_digest.uses_)
    {
        if (contains_index(catalogue.backends_, use.backend_))
        {
            wire::backend_use item;
            item.backend = hash_of(use.backend_, p_snapshot);
            item.running = to_wire_counts(use.running_);
            item.long_work = static_cast<std::int16_t>(use.long_running_);
            out.uses.push_back(std::move(item));
        }
    }
    for (const auto& demand : p_digest.demands_)
    {
        if (contains_index(catalogue.pools_, demand.pool_))
        {
            wire::pool_demand item;
            item.pool = wire_hash(catalogue.pools_[demand.pool_.value()].name_);
            item.waiting = to_wire_counts(demand.waiting_);
            out.demands.push_back(std::move(item));
        }
    }
    for (const auto& record : p_digest.crashes_)
    {
        if (contains_index(catalogue.backends_, record.backend_))
        {
            wire::crash_record item;
            item.backend = hash_of(record.backend_, p_snapshot);
            item.fingerprint =
                static_cast<std::int64_t>(record.fingerprint_.value());
            item.quarantined = record.quarantined_;
            out.crashes.push_back(item);
        }
    }
    for (const auto& report : p_digest.suspects_)
    {
        out.suspects.push_back(to_wire(report, p_now));
    }
    for (const backend_index slow : p_digest.slow_)
    {
        if (contains_index(catalogue.backends_, slow))
        {
            out.slow.push_back(hash_of(slow, p_snapshot));
        }
    }
    return out;
}

policy::digest from_wire(const wire::digest& p_digest, const node_id& p_sender,
                         const snapshot& p_snapshot, time_point p_now)
{
    policy::digest out;
    out.from_ = p_sender;
    out.view_hash_ = static_cast<std::uint64_t>(p_digest.view);
    const auto& backends = p_snapshot.backends_by_hash_;
    for (const auto& use : p_digest.uses)
    {
        if (const auto found = backends.find(use.backend);
            found != backends.end())
        {
            out.uses_.push_back({found->second, from_wire_counts(use.running),
                                 static_cast<std::uint16_t>(use.long_work)});
        }
    }
    for (const auto& demand : p_digest.demands)
    {
        if (const auto found = p_snapshot.pools_by_hash_.find(demand.pool);
            found != p_snapshot.pools_by_hash_.end())
        {
            out.demands_.push_back(
                {found->second, from_wire_counts(demand.waiting)});
        }
    }
    for (const auto& record : p_digest.crashes)
    {
        if (const auto found = backends.find(record.backend);
            found != backends.end())
        {
            out.crashes_.push_back(
                {found->second,
                 fingerprint(static_cast<std::uint64_t>(record.fingerprint)),
                 record.quarantined});
        }
    }
    for (const auto& report : p_digest.suspects)
    {
        out.suspects_.push_back(from_wire(report, p_now));
    }
    for (const std::int64_t slow : p_digest.slow)
    {
        if (const auto found = backends.find(slow); found != backends.end())
        {
            out.slow_.push_back(found->second);
        }
    }
    return out;
}

wire::heartbeat to_wire(const node_state& p_state)
{
    wire::heartbeat out;
    out.node = p_state.name_.value();
    out.incarnation = p_state.incarnation_;
    out.counter = p_state.counter_;
    out.leaving = p_state.leaving_;
    out.address = p_state.address_;
    out.http_port_bits = static_cast<std::int16_t>(p_state.http_port_);
    out.peer_port_bits = static_cast<std::int16_t>(p_state.peer_port_);
    out.failure_domain = p_state.failure_domain_.value();
    out.load_percent = static_cast<std::int16_t>(p_state.load_percent_);
    return out;
}

node_state from_wire(const wire::heartbeat& p_heartbeat)
{
    node_state out;
    out.name_ = node_id(p_heartbeat.node);
    out.incarnation_ = p_heartbeat.incarnation;
    out.counter_ = p_heartbeat.counter;
    out.leaving_ = p_heartbeat.leaving;
    out.address_ = p_heartbeat.address;
    out.http_port_ = static_cast<std::uint16_t>(p_heartbeat.http_port_bits);
    out.peer_port_ = static_cast<std::uint16_t>(p_heartbeat.peer_port_bits);
    out.failure_domain_ = failure_domain_id(p_heartbeat.failure_domain);
    out.load_percent_ = static_cast<std::uint16_t>(p_heartbeat.load_percent);
    return out;
}

wire::cap_claims to_wire(const std::vector<policy::cap_claim>& p_claims,
                         const snapshot& p_snapshot)
{
    wire::cap_claims out;
    for (const auto& claim : p_claims)
    {
        if (contains_index(p_snapshot.catalogue_->accounts_, claim.account_))
        {
            wire::cap_claim item;
            item.account = hash_of(claim.account_, p_snapshot);
            item.tokens_per_s = claim.wanted_tokens_per_s_;
            item.concurrent =
                static_cast<std::int32_t>(claim.wanted_concurrent_);
            out.claims.push_back(item);
        }
    }
    return out;
}

std::vector<policy::cap_claim> from_wire(const wire::cap_claims& p_claims,
                                         const snapshot& p_snapshot)
{
    std::vector<policy::cap_claim> out;
    for (const auto& claim : p_claims.claims)
    {
        if (const auto found = p_snapshot.accounts_by_hash_.find(claim.account);
            found != p_snapshot.accounts_by_hash_.end())
        {
            out.push_back(
                {found->second, claim.tokens_per_s,
                 static_cast<std::uint32_t>(std::max(0, claim.concurrent))});
        }
    }
    return out;
}

wire::cap_grants to_wire(const std::vector<policy::cap_grant>& p_grants,
                         const snapshot& p_snapshot)
{
    wire::cap_grants out;
    for (const auto& grant : p_grants)
    {
        if (contains_index(p_snapshot.catalogue_->accounts_, grant.account_))
        {
            wire::cap_claim item;
            item.account = hash_of(grant.account_, p_snapshot);
            item.tokens_per_s = grant.tokens_per_s_;
            item.concurrent = static_cast<std::int32_t>(grant.concurrent_);
            out.grants.push_back(item);
        }
    }
    return out;
}

std::vector<policy::cap_grant> from_wire(const wire::cap_grants& p_grants,
                                         const snapshot& p_snapshot)
{
    std::vector<policy::cap_grant> out;
    for (const auto& grant : p_grants.grants)
    {
        if (const auto found = p_snapshot.accounts_by_hash_.find(grant.account);
            found != p_snapshot.accounts_by_hash_.end())
        {
            out.push_back(
                {found->second, grant.tokens_per_s,
                 static_cast<std::uint32_t>(std::max(0, grant.concurrent))});
        }
    }
    return out;
}

} // namespace peridotspar
