#include "bench/simulation.hpp"

#include "policy/baselines.hpp"
#include "policy/decider.hpp"

#include <algorithm>
#include <utility>

namespace peridotspar::bench
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(20);
constexpr duration report_interval = std::chrono::milliseconds(500);
/// Time until the peers of a dead or partitioned node notice.
constexpr duration failure_detection_delay = std::chrono::milliseconds(2500);
/// Time until the nodes learn that a backend server is leaving.
constexpr duration leave_propagation_delay = std::chrono::milliseconds(1500);
/// Limit on the time after the load ends in which requests are still answered.
constexpr duration max_drain_time = std::chrono::seconds(300);
/// Time that a poison request runs before its engine crashes.
constexpr duration poison_delay = std::chrono::milliseconds(40);
/// Time after the start of leaving from which a new request at the backend
/// server is a violation.
constexpr duration max_dispatch_after_leave = std::chrono::seconds(3);

} // namespace

template <policy::dispatch_policy Policy>
simulation<Policy>::simulation(const scenario& p_scenario,
                               const policy_factory& p_make_policy)
    : scenario_(p_scenario)
{
    const auto catalogue =
        std::make_shared<policy::catalogue>(scenario_.catalogue_);
    for (const auto& speed : scenario_.engine_speeds_)
    {
        engines_.emplace_back(speed);
    }
    for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
    {
        nodes_.push_back(std::make_unique<node_state>(p_make_policy, i));
    }
    const auto sample_count =
        static_cast<std::size_t>((scenario_.load_time_ + max_drain_time) /
                                 sample_interval) +
        2;
    const std::size_t accounts = scenario_.catalogue_.accounts_.size();
    history_.account_tokens_.assign(
        accounts, std::vector<std::uint32_t>(sample_count, 0));
    history_.others_waiting_.assign(accounts,
                                    std::vector<bool>(sample_count, false));
    waiting_by_account_.assign(accounts, 0);
    for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
    {
        notify_policy(i, policy::catalogue_changed{catalogue});
    }
    publish_live_nodes();
}

template <policy::dispatch_policy Policy>
node_id simulation<Policy>::node_name(std::uint32_t p_node)
{
    return node_id("n" + std::to_string(p_node));
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::schedule(time_point p_time,
                                  std::function<void()> p_callback)
{
    event_queue_.push(
        {std::max(p_time, now_), next_sequence_++, std::move(p_callback)});
}

template <policy::dispatch_policy Policy>
history simulation<Policy>::run()
{
    for (const auto& plan : scenario_.requests_)
    {
        request_history record;
        record.plan_ = plan;
        record.tier_ = scenario_.catalogue_.classes_[plan.class_].tier_;
        history_.requests_.push_back(record);
        const std::size_t index = history_.requests_.size() - 1;
        schedule(plan.arrival_time_, [this, index, node = plan.node_]
                 { submit_request(index, node); });
    }
    unanswered_requests_ = history_.requests_.size();
    for (const auto& fault : scenario_.faults_)
    {
        schedule(fault.time_, [this, fault] { inject_fault(fault); });
    }
    const time_point last{scenario_.load_time_ + max_drain_time};
    const std::function<void()> tick = [&]
    {
        for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
        {
            notify_policy(i, policy::clock_ticked{});
        }
        record_waiting();
        schedule(now_ + tick_interval, tick);
    };
    schedule(time_point{}, tick);
    const std::function<void()> report = [&]
    {
        report_loads();
        schedule(now_ + report_interval, report);
    };
    schedule(time_point{report_interval}, report);
    while (!event_queue_.empty() && unanswered_requests_ > 0 && now_ < last)
    {
        scheduled_event next = event_queue_.top();
        event_queue_.pop();
        now_ = next.time_;
        next.callback_();
    }
    history_.end_ = now_;
    check_final_state(history_);
    return std::move(history_);
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::submit_request(std::size_t p_history_index,
                                        std::uint32_t p_node)
{
    request_history& record = history_.requests_[p_history_index];
    std::uint32_t to = p_node;
    while (!nodes_[to]->alive_)
    {
        to = (to + 1) % scenario_.nodes_;
    }
    node_state& node = *nodes_[to];
    policy::request request;
    request.id_ = request_id(node.next_request_id_++);
    request.account_ = account_index(record.plan_.account_);
    request.class_ = class_index(record.plan_.class_);
    request.pool_ = pool_index(record.plan_.pool_);
    request.prompt_tokens_ = record.plan_.prompt_tokens_;
    request.prefix_hash_ = record.plan_.prefix_hash_;
    request.fingerprint_ = fingerprint(record.plan_.content_id_);
    request.idempotent_ = record.plan_.idempotent_;
    node.history_indices_[request.id_] = p_history_index;
    record.refused_ = false;
    record.node_lost_ = false;
    record.node_ = to;
    record.executions_before_resend_ = record.executions_;
    ++waiting_by_account_[record.plan_.account_];
    notify_policy(to, policy::request_arrived{request});
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::notify_policy(std::uint32_t p_node,
                                       const policy::event& p_event)
{
    if (!nodes_[p_node]->alive_)
    {
        return;
    }
    std::vector<policy::action> actions;
    nodes_[p_node]->policy_.handle(p_event, now_, actions);
    execute(p_node, actions);
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::execute(std::uint32_t p_node,
                                 std::vector<policy::action>& r_actions)
{
    const attempt_properties* victim = nullptr;
    attempt_properties preempted;
    for (auto& action : r_actions)
    {
        if (const auto* dispatched = std::get_if<policy::dispatch>(&action))
        {
            execute(p_node, *dispatched);
            if (victim != nullptr)
            {
                const auto id =
                    nodes_[p_node]->stream_ids_.at(dispatched->attempt_);
                check_preemption(history_, preempted,
                                 streams_.at(id).properties_, now_);
                victim = nullptr;
            }
        }
        else if (const auto* cancelled =
                     std::get_if<policy::cancel_attempt>(&action))
        {
            const auto found =
                nodes_[p_node]->stream_ids_.find(cancelled->attempt_);
            if (cancelled->reason_ == policy::cancel_reason::preempted &&
                found != nodes_[p_node]->stream_ids_.end())
            {
                preempted = streams_.at(found->second).properties_;
                victim = &preempted;
            }
            execute(p_node, *cancelled);
        }
        else if (const auto* refused = std::get_if<policy::refuse>(&action))
        {
            execute(p_node, *refused);
        }
        else if (const auto* completed = std::get_if<policy::complete>(&action))
        {
            execute(p_node, *completed);
        }
        else if (auto* published = std::get_if<policy::publish_digest>(&action))
        {
            for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
            {
                if (i != p_node)
                {
                    send_to_node(p_node, node_name(i),
                                 policy::digest_received{published->digest_});
                }
            }
        }
        else if (auto* claim_message = std::get_if<policy::claim_caps>(&action))
        {
            send_to_node(p_node, claim_message->home_,
                         policy::caps_claimed{node_name(p_node),
                                              claim_message->claims_});
        }
        else if (auto* grant_message = std::get_if<policy::grant_caps>(&action))
        {
            send_to_node(p_node, grant_message->to_,
                         policy::caps_granted{grant_message->grants_});
        }
        else if (auto* preemption =
                     std::get_if<policy::request_preemption>(&action))
        {
            send_to_node(
                p_node, preemption->to_,
                policy::preemption_requested{preemption->backend_,
                                             preemption->requester_tier_});
        }
    }
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::send_to_node(std::uint32_t p_from, const node_id& p_to,
                                      policy::event p_event)
{
    const auto to =
        static_cast<std::uint32_t>(std::stoul(p_to.value().substr(1)));
    if (nodes_[p_from]->partitioned_ || nodes_[to]->partitioned_)
    {
        return;
    }
    schedule(now_ + scenario_.network_delay_,
             [this, to, sent = std::move(p_event)]
             { notify_policy(to, sent); });
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::execute(std::uint32_t p_node,
                                 const policy::dispatch& p_action)
{
    node_state& node = *nodes_[p_node];
    const std::size_t index = node.history_indices_.at(p_action.request_);
    request_history& record = history_.requests_[index];
    if (!record.dispatched_)
    {
        record.dispatched_ = true;
        record.first_dispatch_ = now_;
    }
    --waiting_by_account_[record.plan_.account_];
    const std::uint32_t backend = p_action.backend_.value();
    if (engines_[backend].leave_time_ &&
        now_ - *engines_[backend].leave_time_ > max_dispatch_after_leave)
    {
        history_.violations_.push_back(
            {now_, "a request was dispatched to a leaving backend server"});
    }
    const std::uint64_t id = next_stream_id_++;
    attempt_stream opened;
    opened.node_ = p_node;
    opened.attempt_ = p_action.attempt_;
    opened.request_ = p_action.request_;
    opened.history_index_ = index;
    opened.backend_ = backend;
    opened.next_token_ = record.delivered_tokens_;
    opened.properties_ = {record.tier_, record.plan_.pool_,
                          record.plan_.idempotent_, p_action.on_minimum_share_,
                          p_action.borrowed_};
    streams_.emplace(id, opened);
    node.stream_ids_[p_action.attempt_] = id;
    schedule(now_ + scenario_.network_delay_, [this, id] { open_stream(id); });
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::open_stream(std::uint64_t p_id)
{
    const auto found = streams_.find(p_id);
    if (found == streams_.end() || !found->second.open_)
    {
        return;
    }
    const attempt_stream& opened = found->second;
    engine_state& engine = engines_[opened.backend_];
    if (now_ < engine.down_until_)
    {
        end_stream(p_id, policy::attempt_result::unsent);
        return;
    }
    request_history& record = history_.requests_[opened.history_index_];
    ++record.executions_;
    engine_stream stream;
    stream.priority_ = opened.properties_.tier_.value();
    stream.prefill_tokens_left_ =
        record.plan_.prompt_tokens_ + opened.next_token_;
    stream.next_token_ = opened.next_token_;
    stream.end_token_ = record.plan_.output_tokens_;
    engine.batch_.add(p_id, stream);
    schedule_engine_step(opened.backend_);
    if (record.plan_.poison_)
    {
        schedule(now_ + poison_delay,
                 [this, p_id, backend = opened.backend_]
                 {
                     const auto current = streams_.find(p_id);
                     if (current != streams_.end() && current->second.open_)
                     {
                         crash_engine(backend);
                     }
                 });
    }
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::schedule_engine_step(std::uint32_t p_backend)
{
    engine_state& engine = engines_[p_backend];
    if (engine.stepping_ || engine.batch_.idle())
    {
        return;
    }
    engine.stepping_ = true;
    const auto result = engine.batch_.step();
    schedule(now_ + result.duration_,
             [this, p_backend, epoch = engine.epoch_, result]
             { finish_step(p_backend, epoch, result); });
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::finish_step(std::uint32_t p_backend,
                                     std::uint64_t p_epoch,
                                     const engine_batch::step_result& p_result)
{
    engine_state& engine = engines_[p_backend];
    if (engine.epoch_ != p_epoch)
    {
        return;
    }
    engine.stepping_ = false;
    const auto sample =
        static_cast<std::size_t>(now_.time_since_epoch() / sample_interval);
    for (const auto id : p_result.tokens_)
    {
        ++history_.generated_tokens_;
        if (const auto found = streams_.find(id); found != streams_.end())
        {
            const auto account =
                history_.requests_[found->second.history_index_].plan_.account_;
            ++history_.account_tokens_[account][sample];
        }
    }
    schedule(now_ + scenario_.network_delay_,
             [this, p_result]
             {
                 for (const auto id : p_result.tokens_)
                 {
                     const bool last = std::find(p_result.ended_.begin(),
                                                 p_result.ended_.end(),
                                                 id) != p_result.ended_.end();
                     receive_token(id, last);
                 }
             });
    schedule_engine_step(p_backend);
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::receive_token(std::uint64_t p_id, bool p_last)
{
    const auto found = streams_.find(p_id);
    if (found == streams_.end() || !found->second.open_)
    {
        return;
    }
    attempt_stream& current = found->second;
    request_history& record = history_.requests_[current.history_index_];
    if (current.next_token_ != record.delivered_tokens_)
    {
        history_.violations_.push_back({now_, "a token arrived out of order"});
    }
    ++current.next_token_;
    ++record.delivered_tokens_;
    if (record.first_token_ == time_point{})
    {
        record.first_token_ = now_;
    }
    record.last_token_ = now_;
    const std::uint32_t node = current.node_;
    const attempt_id attempt = current.attempt_;
    notify_policy(node, policy::output_received{attempt, 1});
    if (p_last)
    {
        end_stream(p_id, policy::attempt_result::completed);
    }
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::end_stream(std::uint64_t p_id,
                                    policy::attempt_result p_result)
{
    const auto found = streams_.find(p_id);
    if (found == streams_.end() || !found->second.open_)
    {
        return;
    }
    const attempt_stream ended = found->second;
    found->second.open_ = false;
    if (p_result != policy::attempt_result::completed)
    {
        const auto account =
            history_.requests_[ended.history_index_].plan_.account_;
        ++waiting_by_account_[account];
    }
    notify_policy(ended.node_, policy::attempt_ended{ended.attempt_, p_result});
    nodes_[ended.node_]->stream_ids_.erase(ended.attempt_);
    streams_.erase(p_id);
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::close_stream(std::uint64_t p_id)
{
    const auto found = streams_.find(p_id);
    if (found == streams_.end())
    {
        return;
    }
    const std::uint32_t backend = found->second.backend_;
    streams_.erase(found);
    // The engine notices the closed connection after the network delay.
    schedule(now_ + scenario_.network_delay_,
             [this, p_id, backend] { engines_[backend].batch_.remove(p_id); });
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::execute(std::uint32_t p_node,
                                 const policy::cancel_attempt& p_action)
{
    node_state& node = *nodes_[p_node];
    const auto found = node.stream_ids_.find(p_action.attempt_);
    if (found == node.stream_ids_.end())
    {
        return;
    }
    request_history& record =
        history_.requests_[streams_.at(found->second).history_index_];
    ++record.preemptions_;
    ++waiting_by_account_[record.plan_.account_];
    close_stream(found->second);
    node.stream_ids_.erase(found);
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::execute(std::uint32_t p_node,
                                 const policy::refuse& p_action)
{
    const std::size_t index =
        nodes_[p_node]->history_indices_.at(p_action.request_);
    request_history& record = history_.requests_[index];
    --waiting_by_account_[record.plan_.account_];
    record.refused_ = true;
    record.refusal_reason_ = p_action.reason_;
    record.hit_cap_ =
        record.hit_cap_ || p_action.reason_ == policy::refusal::over_cap;
    ++record.refusals_;
    record.ended_ = now_;
    if (p_action.verdict_ == verdict::not_run &&
        record.executions_ > record.executions_before_resend_)
    {
        history_.violations_.push_back(
            {now_,
             "a request that ran was refused with the verdict \"not run\""});
    }
    if (p_action.reason_ == policy::refusal::overloaded)
    {
        check_load_shedding(history_, record.plan_, record.tier_,
                            running_on_node(p_node), now_);
    }
    const bool resend =
        record.plan_.resends_left_ > 0 &&
        (p_action.retry_after_ > duration(0) || record.plan_.poison_) &&
        (p_action.verdict_ == verdict::not_run || record.plan_.idempotent_);
    if (!resend)
    {
        --unanswered_requests_;
        return;
    }
    --record.plan_.resends_left_;
    record.delivered_tokens_ = 0;
    constexpr duration min_resend_delay = std::chrono::seconds(1);
    const duration wait =
        std::max<duration>(p_action.retry_after_, min_resend_delay);
    schedule(now_ + wait, [this, index, node = (p_node + 1) % scenario_.nodes_]
             { submit_request(index, node); });
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::execute(std::uint32_t p_node,
                                 const policy::complete& p_action)
{
    request_history& record =
        history_
            .requests_[nodes_[p_node]->history_indices_.at(p_action.request_)];
    record.completed_ = true;
    record.ended_ = now_;
    --unanswered_requests_;
}

template <policy::dispatch_policy Policy>
std::vector<attempt_properties>
simulation<Policy>::running_on_node(std::uint32_t p_node) const
{
    std::vector<attempt_properties> list;
    for (const auto& [attempt, id] : nodes_[p_node]->stream_ids_)
    {
        const auto found = streams_.find(id);
        if (found != streams_.end() && found->second.open_)
        {
            list.push_back(found->second.properties_);
        }
    }
    return list;
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::crash_engine(std::uint32_t p_backend)
{
    engine_state& engine = engines_[p_backend];
    engine.batch_.clear();
    ++engine.epoch_;
    engine.stepping_ = false;
    engine.down_until_ = now_ + scenario_.restart_time_;
    ++history_.crashes_;
    std::vector<std::uint64_t> lost_streams;
    for (const auto& [id, open] : streams_)
    {
        if (open.backend_ == p_backend && open.open_)
        {
            lost_streams.push_back(id);
        }
    }
    std::sort(lost_streams.begin(), lost_streams.end());
    for (const auto id : lost_streams)
    {
        schedule(now_ + scenario_.network_delay_, [this, id]
                 { end_stream(id, policy::attempt_result::connection_lost); });
    }
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::inject_fault(const planned_fault& p_fault)
{
    using kind = planned_fault::kind;
    switch (p_fault.kind_)
    {
    case kind::slow:
        engines_[p_fault.target_].batch_.set_slowdown(p_fault.factor_);
        break;
    case kind::crash:
        crash_engine(p_fault.target_);
        break;
    case kind::kill:
        kill_node(p_fault.target_);
        break;
    case kind::cut:
        nodes_[p_fault.target_]->partitioned_ = true;
        schedule(now_ + failure_detection_delay,
                 [this] { publish_live_nodes(); });
        break;
    case kind::heal:
        nodes_[p_fault.target_]->partitioned_ = false;
        unreachable_.clear();
        publish_live_nodes();
        break;
    case kind::leave:
        engines_[p_fault.target_].leave_time_ = now_;
        schedule(now_ + leave_propagation_delay,
                 [this, target = p_fault.target_]
                 {
                     for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
                     {
                         notify_policy(i, policy::backend_admission_changed{
                                              backend_index(target), false});
                     }
                 });
        break;
    case kind::split:
        for (std::uint32_t i = 0; i < scenario_.nodes_; i += 2)
        {
            if (i != p_fault.target_)
            {
                unreachable_.emplace(i, p_fault.target_);
            }
        }
        publish_live_nodes();
        break;
    }
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::kill_node(std::uint32_t p_node)
{
    node_state& node = *nodes_[p_node];
    node.alive_ = false;
    std::vector<std::size_t> unfinished;
    for (const auto& [id, index] : node.history_indices_)
    {
        const request_history& record = history_.requests_[index];
        if (!record.completed_ && !record.refused_ && record.node_ == p_node)
        {
            unfinished.push_back(index);
        }
    }
    std::sort(unfinished.begin(), unfinished.end());
    for (const auto& [attempt, id] : node.stream_ids_)
    {
        close_stream(id);
    }
    node.stream_ids_.clear();
    for (const std::size_t index : unfinished)
    {
        request_history& record = history_.requests_[index];
        if (!record.dispatched_)
        {
            --waiting_by_account_[record.plan_.account_];
        }
        record.node_lost_ = true;
        if (!record.plan_.idempotent_)
        {
            // The caller can't know whether the request ran, so it doesn't
            // resend a request that isn't idempotent.
            --unanswered_requests_;
            continue;
        }
        record.delivered_tokens_ = 0;
        schedule(now_ + std::chrono::milliseconds(500),
                 [this, index, next = (p_node + 1) % scenario_.nodes_]
                 { submit_request(index, next); });
    }
    schedule(now_ + failure_detection_delay, [this] { publish_live_nodes(); });
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::publish_live_nodes()
{
    std::vector<node_id> listed_nodes;
    for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
    {
        listed_nodes.push_back(node_name(i));
    }
    for (std::uint32_t i = 0; i < scenario_.nodes_; ++i)
    {
        std::vector<node_id> live_nodes;
        for (std::uint32_t j = 0; j < scenario_.nodes_; ++j)
        {
            const bool reachable =
                nodes_[j]->alive_ &&
                nodes_[i]->partitioned_ == nodes_[j]->partitioned_ &&
                !unreachable_.contains({i, j});
            if (i == j || reachable)
            {
                live_nodes.push_back(node_name(j));
            }
        }
        notify_policy(i, policy::nodes_changed{listed_nodes, live_nodes});
    }
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::report_loads()
{
    for (std::uint32_t i = 0; i < engines_.size(); ++i)
    {
        const policy::load_reported report{
            backend_index(i),
            static_cast<std::uint32_t>(engines_[i].batch_.running()),
            static_cast<std::uint32_t>(engines_[i].batch_.waiting()), now_};
        schedule(now_ + scenario_.report_lag_,
                 [this, report]
                 {
                     for (std::uint32_t j = 0; j < scenario_.nodes_; ++j)
                     {
                         notify_policy(j, report);
                     }
                 });
    }
}

template <policy::dispatch_policy Policy>
void simulation<Policy>::record_waiting()
{
    const auto sample =
        static_cast<std::size_t>(now_.time_since_epoch() / sample_interval);
    std::size_t total_waiting = 0;
    for (const std::size_t count : waiting_by_account_)
    {
        total_waiting += count;
    }
    for (std::size_t i = 0; i < waiting_by_account_.size(); ++i)
    {
        if (total_waiting > waiting_by_account_[i])
        {
            history_.others_waiting_[i][sample] = true;
        }
    }
}

template class simulation<policy::decider>;
template class simulation<policy::baseline_policy>;

} // namespace peridotspar::bench
