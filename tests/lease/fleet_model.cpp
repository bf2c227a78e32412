#include "tests/lease/fleet_model.hpp"

#include <algorithm>
#include <numeric>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t max_candidates = 3;
/// Age of the oldest copy that the store may come back from.
constexpr std::size_t max_copies = 1000;

} // namespace

fleet_model::fleet_model(std::uint64_t p_seed, std::size_t p_nodes,
                         lease_options p_options, planted_fault p_fault)
    : random_(p_seed),
      now_(1'000'000s),
      is_candidate_(p_nodes, false),
      start_at_(p_nodes),
      kill_at_(p_nodes),
      history_(p_options.lifetime_)
{
    for (std::size_t i = 0; i < p_nodes; ++i)
    {
        p_options.node_ = "n" + std::to_string(i + 1);
        // Boot clocks differ widely and system clocks by up to a second.
        nodes_.emplace_back(p_options, p_fault, between(0, 1000),
                            static_cast<std::int64_t>(random_() % 2));
        nodes_.back().start(0);
    }
    choose_candidates();
}

void fleet_model::run(duration p_time)
{
    for (const time_point end = now_ + p_time; now_ < end;)
    {
        advance();
    }
}

void fleet_model::restore()
{
    rates_ = {};
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        nodes_[i].cut(now_);
        if (!nodes_[i].is_running() || kill_at_[i])
        {
            nodes_[i].start(store_.epoch());
        }
        kill_at_[i].reset();
        start_at_[i].reset();
    }
    choose_candidates();
}

std::optional<std::size_t> fleet_model::holder()
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (nodes_[i].is_running() && nodes_[i].keeper().token() != 0)
        {
            return i;
        }
    }
    return std::nullopt;
}

void fleet_model::set_candidates(std::size_t p_count)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        is_candidate_[i] = i < p_count;
        nodes_[i].keeper().set_candidate(is_candidate_[i]);
    }
}

void fleet_model::advance()
{
    now_ += step;
    disturb();
    disturb_store();
    restart_nodes();
    perform_operations();
    answer_operations();
    run_nodes();
    gossip();
}

void fleet_model::disturb()
{
    if (occurs(rates_.kill_))
    {
        const std::size_t i = pick_node();
        nodes_[i].kill();
        schedule_start(i, 0, 4);
    }
    if (occurs(rates_.stop_))
    {
        if (const auto i = pick_awake_node())
        {
            nodes_[*i].give_back();
            kill_at_[*i] = now_ + between(0, 2);
        }
    }
    if (occurs(rates_.suspend_))
    {
        if (const auto i = pick_awake_node())
        {
            nodes_[*i].suspend(now_, now_ + between(0.1, 8));
        }
    }
    if (occurs(rates_.cut_))
    {
        nodes_[pick_node()].cut(now_ + between(0.2, 8));
    }
    if (occurs(rates_.change_candidates_))
    {
        choose_candidates();
    }
}

void fleet_model::disturb_store()
{
    copies_.push_back(store_.take_copy());
    if (copies_.size() > max_copies)
    {
        copies_.pop_front();
    }
    if (occurs(rates_.reset_store_))
    {
        store_.reset(copies_[random_() % copies_.size()]);
    }
    if (occurs(rates_.remove_record_))
    {
        store_.remove();
    }
}

void fleet_model::restart_nodes()
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (kill_at_[i] && now_ >= *kill_at_[i])
        {
            kill_at_[i].reset();
            nodes_[i].kill();
            schedule_start(i, 0, 4);
        }
        if (start_at_[i] && now_ >= *start_at_[i])
        {
            start_at_[i].reset();
            kill_at_[i].reset();
            nodes_[i].start(store_.epoch());
            nodes_[i].keeper().set_candidate(is_candidate_[i]);
        }
    }
}

void fleet_model::perform_operations()
{
    for (operation& each : operations_)
    {
        if (!each.perform_at_ || now_ < *each.perform_at_)
        {
            continue;
        }
        each.result_ = store_.perform(each.call_);
        each.epoch_ = store_.epoch();
        each.perform_at_.reset();
    }
}

void fleet_model::answer_operations()
{
    for (auto each = operations_.begin(); each != operations_.end();)
    {
        model_node& node = nodes_[each->node_];
        const bool is_current = node.is_running() && node.run() == each->run_;
        const bool is_due = now_ >= each->answer_at_;
        if (is_current && is_due && node.is_awake(now_))
        {
            // A node that was suspended may act before it sees the answer.
            take_action(node);
            node.on_answer(each->call_,
                           each->forced_ ? *each->forced_ : each->result_,
                           each->forced_ ? std::nullopt : each->epoch_, now_);
            take_action(node);
            each->run_.clear();
        }
        const bool is_answered = !is_current || each->run_.empty();
        each = is_answered && !each->perform_at_ ? operations_.erase(each)
                                                 : std::next(each);
    }
}

void fleet_model::run_nodes()
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        model_node& node = nodes_[i];
        if (!node.is_awake(now_))
        {
            continue;
        }
        take_action(node);
        if (node.keeper().token() != 0 && occurs(rates_.set_payload_))
        {
            node.keeper().set_payload("p" + std::to_string(++payloads_));
        }
        if (auto call = node.next(now_))
        {
            issue(i, std::move(*call));
        }
        take_action(node);
    }
}

void fleet_model::gossip()
{
    for (model_node& from : nodes_)
    {
        if (!from.is_awake(now_) || !occurs(2))
        {
            continue;
        }
        for (model_node& to : nodes_)
        {
            if (to.is_awake(now_) && !is_drawn(0.2))
            {
                to.keeper().set_known_token(from.keeper().highest_token());
            }
        }
        // The follower of the store's watches may see a reset before the
        // keeper's next call does.
        if (!from.is_cut(now_))
        {
            from.learn_epoch(store_.epoch());
        }
    }
}

void fleet_model::take_action(model_node& r_node)
{
    if (!r_node.may_act(now_))
    {
        return;
    }
    history_.record({r_node.name(), r_node.run(), r_node.token(), now_});
    const std::string& payload = r_node.keeper().payload_in_store();
    if (!payload.empty() &&
        !store_.had_payload(r_node.keeper().token(), payload))
    {
        history_.report("payload wasn't stored: " + payload);
    }
}

void fleet_model::issue(std::size_t p_node, lease_call p_call)
{
    operation result;
    result.node_ = p_node;
    result.run_ = nodes_[p_node].run();
    result.call_ = std::move(p_call);
    shape(result);
    const bool is_renewal = result.call_.kind_ == lease_call::kind::replace &&
                            nodes_[p_node].keeper().token() != 0;
    if (is_renewal && is_drawn(rates_.suspend_before_answer_))
    {
        nodes_[p_node].suspend(now_, result.answer_at_ + between(0.1, 6));
    }
    operations_.push_back(std::move(result));
}

void fleet_model::shape(operation& r_operation)
{
    using kind = lease_answer::kind;
    const lease_answer unknown{kind::unknown, 0, std::nullopt};
    if (nodes_[r_operation.node_].is_cut(now_))
    {
        r_operation.answer_at_ = now_ + between(0, 1);
        r_operation.forced_ =
            is_drawn(0.5) ? unknown : lease_answer{kind::failed, 0, {}};
        return;
    }
    if (is_drawn(rates_.failed_))
    {
        r_operation.answer_at_ = now_ + between(0, 0.5);
        r_operation.forced_ = lease_answer{kind::failed, 0, {}};
        return;
    }
    const bool is_slow = is_drawn(rates_.slow_);
    r_operation.perform_at_ = now_ + between(0, is_slow ? 1.5 : 0.05);
    r_operation.answer_at_ =
        *r_operation.perform_at_ + between(0, is_slow ? 1.5 : 0.05);
    if (is_drawn(rates_.lost_answer_))
    {
        r_operation.answer_at_ += between(0.1, 0.8);
        r_operation.forced_ = unknown;
    }
    if (is_drawn(rates_.late_write_))
    {
        r_operation.perform_at_ = now_ + between(1, 6);
        r_operation.answer_at_ = now_ + between(0.1, 0.8);
        r_operation.forced_ = unknown;
    }
}

void fleet_model::choose_candidates()
{
    std::vector<std::size_t> order(nodes_.size());
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random_);
    const std::size_t count = 1 + random_() % max_candidates;
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        is_candidate_[order[i]] = i < count;
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (nodes_[i].is_running())
        {
            nodes_[i].keeper().set_candidate(is_candidate_[i]);
        }
    }
}

void fleet_model::schedule_start(std::size_t p_node, double p_min_s,
                                 double p_max_s)
{
    start_at_[p_node] = now_ + between(p_min_s, p_max_s);
}

bool fleet_model::occurs(double p_per_s)
{
    return is_drawn(p_per_s * to_seconds(step));
}

bool fleet_model::is_drawn(double p_share)
{
    return p_share > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random_) < p_share;
}

duration fleet_model::between(double p_min_s, double p_max_s)
{
    return from_seconds(
        std::uniform_real_distribution<double>(p_min_s, p_max_s)(random_));
}

std::size_t fleet_model::pick_node()
{
    const std::size_t any = random_() % nodes_.size();
    // Most faults matter only at the holder.
    return is_drawn(0.5) ? holder().value_or(any) : any;
}

std::optional<std::size_t> fleet_model::pick_awake_node()
{
    const std::size_t i = pick_node();
    return nodes_[i].is_awake(now_) ? std::optional(i) : std::nullopt;
}

} // namespace peridotspar
