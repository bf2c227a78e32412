#include "membership/node_table.hpp"

#include <algorithm>
#include <tuple>

namespace peridotspar
{

node_table::node_table(node_state p_self, membership_options p_options)
    : self_(std::move(p_self)), options_(p_options)
{
}

void node_table::advance_heartbeat(bool p_leaving, std::uint16_t p_load_percent,
                                   time_point)
{
    ++self_.counter_;
    self_.leaving_ = p_leaving;
    self_.load_percent_ = p_load_percent;
}

void node_table::apply_heartbeat(const node_state& p_state, time_point p_now)
{
    if (p_state.name_ == self_.name_)
    {
        return;
    }
    known_node& known = known_[p_state.name_];
    const bool newer =
        known.state_.counter_ == 0 ||
        std::tie(p_state.incarnation_, p_state.counter_) >
            std::tie(known.state_.incarnation_, known.state_.counter_);
    if (newer)
    {
        known.state_ = p_state;
        known.received_at_ = p_now;
    }
}

void node_table::set_listed(const std::vector<node_id>& p_listed,
                            time_point p_now)
{
    listed_ = p_listed;
    std::erase_if(known_,
                  [&](const auto& p_item)
                  {
                      const bool listed =
                          std::find(listed_.begin(), listed_.end(),
                                    p_item.first) != listed_.end();
                      return !listed && p_now - p_item.second.received_at_ >
                                            options_.removal_timeout_;
                  });
}

bool node_table::is_live(const node_id& p_node, time_point p_now) const
{
    if (p_node == self_.name_)
    {
        return true;
    }
    const auto found = known_.find(p_node);
    return found != known_.end() &&
           p_now - found->second.received_at_ < options_.liveness_timeout_;
}

std::vector<node_state> node_table::live(time_point p_now) const
{
    std::vector<node_state> nodes{self_};
    for (const auto& [name, known] : known_)
    {
        if (is_live(name, p_now))
        {
            nodes.push_back(known.state_);
        }
    }
    std::sort(nodes.begin(), nodes.end(),
              [](const node_state& p_left, const node_state& p_right)
              { return p_left.name_ < p_right.name_; });
    return nodes;
}

std::vector<node_id> node_table::listed(time_point p_now) const
{
    std::vector<node_id> nodes = listed_;
    for (const auto& state : live(p_now))
    {
        nodes.push_back(state.name_);
    }
    std::sort(nodes.begin(), nodes.end());
    nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
    return nodes;
}

std::vector<node_state> node_table::heartbeats(time_point p_now) const
{
    std::vector<node_state> states{self_};
    for (const auto& [name, known] : known_)
    {
        // Passing on the last heartbeat of a dead node would only keep other
        // nodes from removing it.
        if (p_now - known.received_at_ < options_.liveness_timeout_)
        {
            states.push_back(known.state_);
        }
    }
    return states;
}

std::vector<node_state> node_table::pick_peers(std::size_t p_max,
                                               std::mt19937_64& r_random,
                                               time_point p_now) const
{
    std::vector<node_state> peers = live(p_now);
    std::erase_if(peers, [this](const node_state& p_state)
                  { return p_state.name_ == self_.name_; });
    if (peers.size() <= p_max)
    {
        return peers;
    }
    std::vector<node_state> picked;
    std::sample(peers.begin(), peers.end(), std::back_inserter(picked), p_max,
                r_random);
    return picked;
}

std::vector<node_state> node_table::entry_list(time_point p_now) const
{
    std::vector<node_state> usable = live(p_now);
    std::erase_if(usable,
                  [](const node_state& p_state) { return p_state.leaving_; });
    const auto overloaded = [this](const node_state& p_state)
    { return p_state.load_percent_ > options_.overloaded_percent_; };
    if (!std::all_of(usable.begin(), usable.end(), overloaded))
    {
        std::erase_if(usable, overloaded);
    }
    std::map<failure_domain_id, std::vector<node_state>> domains;
    for (auto& state : usable)
    {
        domains[state.failure_domain_].push_back(state);
    }
    // Takes the least loaded node of each failure domain, then the second of
    // each, and so on.
    std::vector<node_state> ordered;
    for (std::size_t position = 0; ordered.size() < usable.size(); ++position)
    {
        for (auto& [domain, nodes] : domains)
        {
            std::stable_sort(
                nodes.begin(), nodes.end(),
                [](const node_state& p_left, const node_state& p_right)
                { return p_left.load_percent_ < p_right.load_percent_; });
            if (position < nodes.size())
            {
                ordered.push_back(nodes[position]);
            }
        }
    }
    return ordered;
}

} // namespace peridotspar
