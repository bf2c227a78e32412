#include "membership/node_directory.hpp"

#include <algorithm>

#include <xxhash.h>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

/// Dead nodes are remembered so that both sides of a long cut meet again, and
/// late records of theirs are recognized.
constexpr duration dead_node_retention = 2h;

/// Rendezvous score: the node with the highest has the duty.
std::uint64_t score(node_key p_key, std::uint64_t p_salt)
{
    const std::uint64_t key = p_key.value();
    return XXH64(&key, sizeof(key), p_salt);
}

std::uint64_t hash_of(const known_node& p_node)
{
    const node_version& version = p_node.record_.version_;
    return score(p_node.key_,
                 score(node_key(version.sequence_),
                       static_cast<std::uint64_t>(version.started_ms_)));
}

} // namespace

node_key key_of(const std::string& p_address)
{
    return node_key(XXH64(p_address.data(), p_address.size(), 0));
}

engine_load& engine_load::operator+=(const engine_load& p_added)
{
    requests_ += p_added.requests_;
    kilotokens_ += p_added.kilotokens_;
    prefill_units_ += p_added.prefill_units_;
    tight_streams_ += p_added.tight_streams_;
    return *this;
}

node_directory::node_directory(const node_record& p_self,
                               spreading_options p_options)
    : options_(p_options)
{
    self_ = &nodes_[p_self.key()];
    self_->key_ = p_self.key();
    self_->record_ = p_self;
}

void node_directory::record_change()
{
    ++generation_;
    duties_are_current_ = false;
}

void node_directory::set_self(const node_record& p_record)
{
    self_->record_ = p_record;
    record_change();
}

bool node_directory::merge(const node_record& p_record, time_point p_now)
{
    const node_key key = p_record.key();
    if (key == self_->key_)
    {
        return false;
    }
    auto [found, added] = nodes_.try_emplace(key);
    known_node& known = found->second;
    if (!added && p_record.version_ <= known.record_.version_)
    {
        return false;
    }
    known.key_ = key;
    known.record_ = p_record;
    known.live_ = true;
    known.recorded_at_ = p_now;
    known.heard_at_ = p_now;
    record_change();
    return true;
}

void node_directory::mark_dead(node_key p_key, time_point p_now)
{
    known_node& node = nodes_.at(p_key);
    node.live_ = false;
    node.died_at_ = p_now;
    record_change();
}

void node_directory::remove_expired(time_point p_now)
{
    std::erase_if(nodes_,
                  [p_now](const auto& p_item)
                  {
                      return !p_item.second.live_ &&
                             p_now - p_item.second.died_at_ >
                                 dead_node_retention;
                  });
}

known_node* node_directory::find(node_key p_key)
{
    const auto found = nodes_.find(p_key);
    return found == nodes_.end() ? nullptr : &found->second;
}

bool node_directory::is_live(node_key p_key) const
{
    const auto found = nodes_.find(p_key);
    return found != nodes_.end() && found->second.live_;
}

const std::vector<const known_node*>& node_directory::live() const
{
    update_duties();
    return live_;
}

std::vector<const known_node*> node_directory::dead() const
{
    std::vector<const known_node*> dead;
    for (const auto& [key, node] : nodes_)
    {
        if (!node.live_)
        {
            dead.push_back(&node);
        }
    }
    return dead;
}

std::uint64_t node_directory::records_hash() const
{
    update_duties();
    return records_hash_;
}

void node_directory::update_duties() const
{
    if (duties_are_current_)
    {
        return;
    }
    live_.clear();
    records_hash_ = 0;
    for (const auto& [key, node] : nodes_)
    {
        if (node.live_)
        {
            live_.push_back(&node);
            records_hash_ ^= hash_of(node);
        }
    }
    for (std::uint32_t stripe = 0; stripe < stripe_count; ++stripe)
    {
        const auto rank = [stripe](const known_node* p_node) {
            return std::pair(!p_node->record_.leaving_,
                             score(p_node->key_, stripe));
        };
        homes_[stripe] =
            *std::max_element(live_.begin(), live_.end(),
                              [&rank](const auto* p_a, const auto* p_b)
                              { return rank(p_a) < rank(p_b); });
    }
    duties_are_current_ = true;
}

const known_node& node_directory::home_of(std::uint32_t p_stripe) const
{
    update_duties();
    return *homes_[p_stripe];
}

bool node_directory::is_home(node_key p_key) const
{
    update_duties();
    return std::any_of(homes_.begin(), homes_.end(),
                       [p_key](const known_node* p_home)
                       { return p_home->key_ == p_key; });
}

std::vector<relay> node_directory::relays(std::uint64_t p_salt) const
{
    std::vector<relay> relays;
    std::map<failure_domain_id, std::vector<const known_node*>> domains;
    for (const known_node* node : live())
    {
        if (node == self_)
        {
            continue;
        }
        domains[node->record_.failure_domain_].push_back(node);
        relays.push_back({node->record_.address_, {}});
    }
    if (relays.size() <= options_.max_direct_peers_)
    {
        return relays;
    }
    relays.clear();
    for (auto& [domain, nodes] : domains)
    {
        const std::size_t parts =
            (nodes.size() + options_.nodes_per_relay_ - 1) /
            options_.nodes_per_relay_;
        const auto others = std::stable_partition(
            nodes.begin(), nodes.end(),
            [this](const auto* p_node) { return !is_home(p_node->key_); });
        if (others - nodes.begin() >= static_cast<std::ptrdiff_t>(parts))
        {
            nodes.erase(others, nodes.end());
        }
        const std::size_t first = p_salt % nodes.size() * parts;
        for (std::size_t part = 0; part < parts; ++part)
        {
            relays.push_back(
                {nodes[(first + part) % nodes.size()]->record_.address_,
                 {static_cast<std::uint32_t>(part),
                  static_cast<std::uint32_t>(parts)}});
        }
    }
    return relays;
}

std::vector<std::string>
node_directory::forward_to(const forwarding& p_forwarding, std::uint64_t p_salt,
                           std::uint32_t p_sequence, node_key p_origin) const
{
    std::vector<std::string> addresses;
    if (p_forwarding.parts_ == 0)
    {
        return addresses;
    }
    for (const known_node* node : live())
    {
        const std::uint64_t part =
            (score(node->key_, p_salt) + p_sequence) % p_forwarding.parts_;
        if (node != self_ && node->key_ != p_origin &&
            node->record_.failure_domain_ == self_->record_.failure_domain_ &&
            part == p_forwarding.part_)
        {
            addresses.push_back(node->record_.address_);
        }
    }
    return addresses;
}

} // namespace peridotspar
