#include "bench/world.hpp"

#include "policy/baselines.hpp"
#include "policy/decider.hpp"

#include <algorithm>
#include <utility>

namespace peridotspar::bench
{

namespace
{

constexpr duration tick = std::chrono::milliseconds(20);
constexpr duration report_interval = std::chrono::milliseconds(500);
/// Until the heartbeats of a dead node are missed.
constexpr duration detection_time = std::chrono::milliseconds(2500);
/// Until the fleet is told that a backend server leaves.
constexpr duration leave_spread = std::chrono::milliseconds(1500);
/// After the load ends, a run goes on until all is answered, up to this.
constexpr duration longest_tail = std::chrono::seconds(300);
/// How long a poison request runs before its engine crashes.
constexpr duration poison_delay = std::chrono::milliseconds(40);
constexpr duration leaving_bound = std::chrono::seconds(3);

} // namespace

template <policy::dispatch_policy Policy>
world<Policy>::world(const scenario& p_scenario, const policy_maker& p_make)
    : scenario_(p_scenario)
{
    const auto catalogue =
        std::make_shared<policy::catalogue>(scenario_.catalogue_);
    for (const auto& speed : scenario_.speeds_)
    {
        engines_.emplace_back(speed);
    }
    for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
    {
        nodes_.push_back(std::make_unique<node_state>(p_make(i)));
    }
    const auto slots =
        static_cast<std::size_t>((scenario_.load_time_ + longest_tail) /
                                 history_slot) +
        2;
    const std::size_t accounts = scenario_.catalogue_.accounts_.size();
    history_.account_tokens_.assign(accounts,
                                    std::vector<std::uint32_t>(slots, 0));
    history_.others_wait_.assign(accounts, std::vector<bool>(slots, false));
    waiting_by_account_.assign(accounts, 0);
    for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
    {
        tell(i, policy::catalogue_changed{catalogue});
    }
    publish_nodes();
}

template <policy::dispatch_policy Policy>
node_id world<Policy>::name_of(std::uint32_t p_node)
{
    return node_id("n" + std::to_string(p_node));
}

template <policy::dispatch_policy Policy>
void world<Policy>::at(time_point p_when, std::function<void()> p_run)
{
    steps_.push({std::max(p_when, now_), next_order_++, std::move(p_run)});
}

template <policy::dispatch_policy Policy>
history world<Policy>::run()
{
    for (const auto& plan : scenario_.requests_)
    {
        request_history made;
        made.plan_ = plan;
        made.tier_ = scenario_.catalogue_.classes_[plan.class_].tier_;
        history_.requests_.push_back(made);
        const std::size_t index = history_.requests_.size() - 1;
        at(plan.when_,
           [this, index, node = plan.node_] { arrive(index, node); });
    }
    open_ = history_.requests_.size();
    for (const auto& fault : scenario_.faults_)
    {
        at(fault.when_, [this, fault] { apply(fault); });
    }
    const time_point last{scenario_.load_time_ + longest_tail};
    const std::function<void()> beat = [&]
    {
        for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
        {
            tell(i, policy::clock_ticked{});
        }
        record_waiting();
        at(now_ + tick, beat);
    };
    at(time_point{}, beat);
    const std::function<void()> report = [&]
    {
        report_loads();
        at(now_ + report_interval, report);
    };
    at(time_point{report_interval}, report);
    while (!steps_.empty() && open_ > 0 && now_ < last)
    {
        step next = steps_.top();
        steps_.pop();
        now_ = next.when_;
        next.run_();
    }
    history_.end_ = now_;
    check_end(history_);
    return std::move(history_);
}

template <policy::dispatch_policy Policy>
void world<Policy>::arrive(std::size_t p_history, std::uint32_t p_node)
{
    request_history& record = history_.requests_[p_history];
    std::uint32_t to = p_node;
    while (!nodes_[to]->alive_)
    {
        to = (to + 1) % scenario_.nodes_;
    }
    node_state& node = *nodes_[to];
    policy::request request;
    request.id_ = request_id(node.next_request_++);
    request.account_ = account_index(record.plan_.account_);
    request.class_ = class_index(record.plan_.class_);
    request.pool_ = pool_index(record.plan_.pool_);
    request.prompt_tokens_ = record.plan_.prompt_tokens_;
    request.prefix_hash_ = record.plan_.prefix_;
    request.fingerprint_ = fingerprint(record.plan_.content_);
    request.idempotent_ = record.plan_.idempotent_;
    node.requests_[request.id_] = p_history;
    record.refused_ = false;
    record.lost_ = false;
    record.node_ = to;
    record.earlier_starts_ = record.starts_;
    ++waiting_by_account_[record.plan_.account_];
    tell(to, policy::request_arrived{request});
}

template <policy::dispatch_policy Policy>
void world<Policy>::tell(std::uint32_t p_node, const policy::event& p_event)
{
    if (!nodes_[p_node]->alive_)
    {
        return;
    }
    std::vector<policy::action> actions;
    nodes_[p_node]->policy_.handle(p_event, now_, actions);
    carry_out(p_node, actions);
}

template <policy::dispatch_policy Policy>
void world<Policy>::carry_out(std::uint32_t p_node,
                              std::vector<policy::action>& r_list)
{
    const running_work* victim = nullptr;
    running_work preempted;
    for (auto& wanted : r_list)
    {
        if (const auto* sent = std::get_if<policy::dispatch>(&wanted))
        {
            carry_out(p_node, *sent);
            if (victim != nullptr)
            {
                const auto id = nodes_[p_node]->streams_.at(sent->attempt_);
                check_preemption(history_, preempted, streams_.at(id).work_,
                                 now_);
                victim = nullptr;
            }
        }
        else if (const auto* ended =
                     std::get_if<policy::cancel_attempt>(&wanted))
        {
            const auto found = nodes_[p_node]->streams_.find(ended->attempt_);
            if (ended->reason_ == policy::cancel_reason::preempted &&
                found != nodes_[p_node]->streams_.end())
            {
                preempted = streams_.at(found->second).work_;
                victim = &preempted;
            }
            carry_out(p_node, *ended);
        }
        else if (const auto* refused = std::get_if<policy::refuse>(&wanted))
        {
            carry_out(p_node, *refused);
        }
        else if (const auto* done = std::get_if<policy::complete>(&wanted))
        {
            carry_out(p_node, *done);
        }
        else if (auto* out = std::get_if<policy::publish_digest>(&wanted))
        {
            for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
            {
                if (i != p_node)
                {
                    deliver(p_node, name_of(i),
                            policy::digest_received{out->digest_});
                }
            }
        }
        else if (auto* claims = std::get_if<policy::claim_caps>(&wanted))
        {
            deliver(p_node, claims->home_,
                    policy::caps_claimed{name_of(p_node), claims->claims_});
        }
        else if (auto* grants = std::get_if<policy::grant_caps>(&wanted))
        {
            deliver(p_node, grants->to_, policy::caps_granted{grants->grants_});
        }
        else if (auto* yield = std::get_if<policy::request_preemption>(&wanted))
        {
            deliver(p_node, yield->to_,
                    policy::preemption_requested{yield->backend_,
                                                 yield->requester_tier_});
        }
    }
}

template <policy::dispatch_policy Policy>
void world<Policy>::deliver(std::uint32_t p_from, const node_id& p_to,
                            policy::event p_event)
{
    const auto to =
        static_cast<std::uint32_t>(std::stoul(p_to.value().substr(1)));
    if (nodes_[p_from]->cut_ || nodes_[to]->cut_)
    {
        return;
    }
    at(now_ + scenario_.network_delay_,
       [this, to, sent = std::move(p_event)] { tell(to, sent); });
}

template <policy::dispatch_policy Policy>
void world<Policy>::carry_out(std::uint32_t p_node,
                              const policy::dispatch& p_action)
{
    node_state& node = *nodes_[p_node];
    const std::size_t index = node.requests_.at(p_action.request_);
    request_history& record = history_.requests_[index];
    if (!record.dispatched_)
    {
        record.dispatched_ = true;
        record.first_dispatch_ = now_;
    }
    --waiting_by_account_[record.plan_.account_];
    const std::uint32_t backend = p_action.backend_.value();
    if (engines_[backend].leaves_at_ &&
        now_ - *engines_[backend].leaves_at_ > leaving_bound)
    {
        history_.violations_.push_back(
            {now_, "a leaving backend server got new work"});
    }
    const std::uint64_t id = next_stream_++;
    stream made;
    made.node_ = p_node;
    made.attempt_ = p_action.attempt_;
    made.request_ = p_action.request_;
    made.history_ = index;
    made.backend_ = backend;
    made.next_token_ = record.delivered_;
    made.work_ = {record.tier_, record.plan_.pool_, record.plan_.idempotent_,
                  p_action.on_minimum_share_, p_action.borrowed_};
    streams_.emplace(id, made);
    node.streams_[p_action.attempt_] = id;
    at(now_ + scenario_.network_delay_, [this, id] { open_stream(id); });
}

template <policy::dispatch_policy Policy>
void world<Policy>::open_stream(std::uint64_t p_id)
{
    const auto found = streams_.find(p_id);
    if (found == streams_.end() || !found->second.open_)
    {
        return;
    }
    const stream& opened = found->second;
    engine_state& engine = engines_[opened.backend_];
    if (now_ < engine.down_until_)
    {
        end_stream(p_id, policy::attempt_result::unsent);
        return;
    }
    request_history& record = history_.requests_[opened.history_];
    ++record.starts_;
    engine_stream work;
    work.priority_ = opened.work_.tier_.value();
    work.prefill_left_ = record.plan_.prompt_tokens_ + opened.next_token_;
    work.next_token_ = opened.next_token_;
    work.end_token_ = record.plan_.output_tokens_;
    engine.batch_.add(p_id, work);
    start_stepping(opened.backend_);
    if (record.plan_.poison_)
    {
        at(now_ + poison_delay,
           [this, p_id, backend = opened.backend_]
           {
               const auto still = streams_.find(p_id);
               if (still != streams_.end() && still->second.open_)
               {
                   crash(backend);
               }
           });
    }
}

template <policy::dispatch_policy Policy>
void world<Policy>::start_stepping(std::uint32_t p_backend)
{
    engine_state& engine = engines_[p_backend];
    if (engine.stepping_ || engine.batch_.idle())
    {
        return;
    }
    engine.stepping_ = true;
    const auto result = engine.batch_.step();
    at(now_ + result.took_, [this, p_backend, epoch = engine.epoch_, result]
       { finish_step(p_backend, epoch, result); });
}

template <policy::dispatch_policy Policy>
void world<Policy>::finish_step(std::uint32_t p_backend, std::uint64_t p_epoch,
                                const engine_batch::step_result& p_result)
{
    engine_state& engine = engines_[p_backend];
    if (engine.epoch_ != p_epoch)
    {
        return;
    }
    engine.stepping_ = false;
    const auto slot =
        static_cast<std::size_t>(now_.time_since_epoch() / history_slot);
    for (const auto id : p_result.tokens_)
    {
        ++history_.generated_;
        if (const auto found = streams_.find(id); found != streams_.end())
        {
            const auto account =
                history_.requests_[found->second.history_].plan_.account_;
            ++history_.account_tokens_[account][slot];
        }
    }
    at(now_ + scenario_.network_delay_,
       [this, p_result]
       {
           for (const auto id : p_result.tokens_)
           {
               const bool last =
                   std::find(p_result.ended_.begin(), p_result.ended_.end(),
                             id) != p_result.ended_.end();
               token(id, last);
           }
       });
    start_stepping(p_backend);
}

template <policy::dispatch_policy Policy>
void world<Policy>::token(std::uint64_t p_id, bool p_last)
{
    const auto found = streams_.find(p_id);
    if (found == streams_.end() || !found->second.open_)
    {
        return;
    }
    stream& current = found->second;
    request_history& record = history_.requests_[current.history_];
    if (current.next_token_ != record.delivered_)
    {
        history_.violations_.push_back({now_, "a token came out of order"});
    }
    ++current.next_token_;
    ++record.delivered_;
    if (record.first_token_ == time_point{})
    {
        record.first_token_ = now_;
    }
    record.last_token_ = now_;
    const std::uint32_t node = current.node_;
    const attempt_id attempt = current.attempt_;
    tell(node, policy::output_received{attempt, 1});
    if (p_last)
    {
        end_stream(p_id, policy::attempt_result::completed);
    }
}

template <policy::dispatch_policy Policy>
void world<Policy>::end_stream(std::uint64_t p_id,
                               policy::attempt_result p_result)
{
    const auto found = streams_.find(p_id);
    if (found == streams_.end() || !found->second.open_)
    {
        return;
    }
    const stream ended = found->second;
    found->second.open_ = false;
    if (p_result != policy::attempt_result::completed)
    {
        const auto account = history_.requests_[ended.history_].plan_.account_;
        ++waiting_by_account_[account];
    }
    tell(ended.node_, policy::attempt_ended{ended.attempt_, p_result});
    nodes_[ended.node_]->streams_.erase(ended.attempt_);
    streams_.erase(p_id);
}

template <policy::dispatch_policy Policy>
void world<Policy>::close_stream(std::uint64_t p_id)
{
    const auto found = streams_.find(p_id);
    if (found == streams_.end())
    {
        return;
    }
    const std::uint32_t backend = found->second.backend_;
    streams_.erase(found);
    // The engine sees the closed connection a little later.
    at(now_ + scenario_.network_delay_,
       [this, p_id, backend] { engines_[backend].batch_.remove(p_id); });
}

template <policy::dispatch_policy Policy>
void world<Policy>::carry_out(std::uint32_t p_node,
                              const policy::cancel_attempt& p_action)
{
    node_state& node = *nodes_[p_node];
    const auto found = node.streams_.find(p_action.attempt_);
    if (found == node.streams_.end())
    {
        return;
    }
    request_history& record =
        history_.requests_[streams_.at(found->second).history_];
    ++record.preemptions_;
    ++waiting_by_account_[record.plan_.account_];
    close_stream(found->second);
    node.streams_.erase(found);
}

template <policy::dispatch_policy Policy>
void world<Policy>::carry_out(std::uint32_t p_node,
                              const policy::refuse& p_action)
{
    const std::size_t index = nodes_[p_node]->requests_.at(p_action.request_);
    request_history& record = history_.requests_[index];
    --waiting_by_account_[record.plan_.account_];
    record.refused_ = true;
    record.reason_ = p_action.reason_;
    record.capped_ =
        record.capped_ || p_action.reason_ == policy::refusal::over_cap;
    ++record.refusals_;
    record.ended_ = now_;
    if (p_action.verdict_ == verdict::not_run &&
        record.starts_ > record.earlier_starts_)
    {
        history_.violations_.push_back(
            {now_, "\"not run\" was said of a request that ran"});
    }
    if (p_action.reason_ == policy::refusal::overloaded)
    {
        check_shed(history_, record.plan_, record.tier_, running(p_node), now_);
    }
    const bool again =
        record.plan_.resends_ > 0 &&
        (p_action.retry_after_ > duration(0) || record.plan_.poison_) &&
        (p_action.verdict_ == verdict::not_run || record.plan_.idempotent_);
    if (!again)
    {
        --open_;
        return;
    }
    --record.plan_.resends_;
    record.delivered_ = 0;
    constexpr duration impatience = std::chrono::seconds(1);
    const duration wait = std::max<duration>(p_action.retry_after_, impatience);
    at(now_ + wait, [this, index, node = (p_node + 1) % scenario_.nodes_]
       { arrive(index, node); });
}

template <policy::dispatch_policy Policy>
void world<Policy>::carry_out(std::uint32_t p_node,
                              const policy::complete& p_action)
{
    request_history& record =
        history_.requests_[nodes_[p_node]->requests_.at(p_action.request_)];
    record.whole_ = true;
    record.ended_ = now_;
    --open_;
}

template <policy::dispatch_policy Policy>
std::vector<running_work> world<Policy>::running(std::uint32_t p_node) const
{
    std::vector<running_work> list;
    for (const auto& [attempt, id] : nodes_[p_node]->streams_)
    {
        const auto found = streams_.find(id);
        if (found != streams_.end() && found->second.open_)
        {
            list.push_back(found->second.work_);
        }
    }
    return list;
}

template <policy::dispatch_policy Policy>
void world<Policy>::crash(std::uint32_t p_backend)
{
    engine_state& engine = engines_[p_backend];
    engine.batch_.clear();
    ++engine.epoch_;
    engine.stepping_ = false;
    engine.down_until_ = now_ + scenario_.restart_time_;
    ++history_.crashes_;
    std::vector<std::uint64_t> broken;
    for (const auto& [id, open] : streams_)
    {
        if (open.backend_ == p_backend && open.open_)
        {
            broken.push_back(id);
        }
    }
    std::sort(broken.begin(), broken.end());
    for (const auto id : broken)
    {
        at(now_ + scenario_.network_delay_, [this, id]
           { end_stream(id, policy::attempt_result::connection_lost); });
    }
}

template <policy::dispatch_policy Policy>
void world<Policy>::apply(const planned_fault& p_fault)
{
    using kind = planned_fault::kind;
    switch (p_fault.kind_)
    {
    case kind::slow:
        engines_[p_fault.target_].batch_.set_slowdown(p_fault.factor_);
        break;
    case kind::crash:
        crash(p_fault.target_);
        break;
    case kind::kill:
        kill(p_fault.target_);
        break;
    case kind::cut:
        nodes_[p_fault.target_]->cut_ = true;
        at(now_ + detection_time, [this] { publish_nodes(); });
        break;
    case kind::heal:
        nodes_[p_fault.target_]->cut_ = false;
        unseen_.clear();
        publish_nodes();
        break;
    case kind::leave:
        engines_[p_fault.target_].leaves_at_ = now_;
        at(now_ + leave_spread,
           [this, target = p_fault.target_]
           {
               for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
               {
                   tell(i, policy::backend_admission_changed{
                               backend_index(target), false});
               }
           });
        break;
    case kind::split:
        for (std::uint32_t i = 0; i < scenario_.nodes_; i += 2)
        {
            if (i != p_fault.target_)
            {
                unseen_.emplace(i, p_fault.target_);
            }
        }
        publish_nodes();
        break;
    }
}

template <policy::dispatch_policy Policy>
void world<Policy>::kill(std::uint32_t p_node)
{
    node_state& node = *nodes_[p_node];
    node.alive_ = false;
    std::vector<std::size_t> orphans;
    for (const auto& [id, index] : node.requests_)
    {
        const request_history& record = history_.requests_[index];
        if (!record.whole_ && !record.refused_ && record.node_ == p_node)
        {
            orphans.push_back(index);
        }
    }
    std::sort(orphans.begin(), orphans.end());
    for (const auto& [attempt, id] : node.streams_)
    {
        close_stream(id);
    }
    node.streams_.clear();
    for (const std::size_t index : orphans)
    {
        request_history& record = history_.requests_[index];
        if (!record.dispatched_)
        {
            --waiting_by_account_[record.plan_.account_];
        }
        record.lost_ = true;
        if (!record.plan_.idempotent_)
        {
            // Its caller can't know what became of it, and asks nobody else.
            --open_;
            continue;
        }
        record.delivered_ = 0;
        at(now_ + std::chrono::milliseconds(500),
           [this, index, next = (p_node + 1) % scenario_.nodes_]
           { arrive(index, next); });
    }
    at(now_ + detection_time, [this] { publish_nodes(); });
}

template <policy::dispatch_policy Policy>
void world<Policy>::publish_nodes()
{
    std::vector<node_id> listed;
    for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
    {
        listed.push_back(name_of(i));
    }
    for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
    {
        std::vector<node_id> live;
        for (std::uint32_t j = 0; j < scenario_.nodes_; ++j)
        {
            const bool reachable = nodes_[j]->alive_ &&
                                   nodes_[i]->cut_ == nodes_[j]->cut_ &&
                                   !unseen_.contains({i, j});
            if (i == j || reachable)
            {
                live.push_back(name_of(j));
            }
        }
        tell(i, policy::nodes_changed{listed, live});
    }
}

template <policy::dispatch_policy Policy>
void world<Policy>::report_loads()
{
    for (std::uint32_t i = 0; i < engines_.size(); ++i)
    {
        const policy::load_reported report{
            backend_index(i),
            static_cast<std::uint32_t>(engines_[i].batch_.running()),
            static_cast<std::uint32_t>(engines_[i].batch_.waiting()), now_};
        at(now_ + scenario_.report_lag_,
           [this, report]
           {
               for (std::uint32_t j = 0; j < scenario_.nodes_; ++j)
               {
                   tell(j, report);
               }
           });
    }
}

template <policy::dispatch_policy Policy>
void world<Policy>::record_waiting()
{
    const auto slot =
        static_cast<std::size_t>(now_.time_since_epoch() / history_slot);
    std::size_t all = 0;
    for (const std::size_t count : waiting_by_account_)
    {
        all += count;
    }
    for (std::size_t i = 0; i < waiting_by_account_.size(); ++i)
    {
        if (all > waiting_by_account_[i])
        {
            history_.others_wait_[i][slot] = true;
        }
    }
}

template class world<policy::decider>;
template class world<policy::baseline_policy>;

} // namespace peridotspar::bench
