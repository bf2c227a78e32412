#include "daemon/decision_loop.hpp"

#include "core/log.hpp"
#include "daemon/error_answer.hpp"

#include <random>
#include <utility>

namespace peridotspar
{

namespace
{

constexpr std::size_t event_capacity = 65536;
/// How often the decision logic sees the time pass.
constexpr duration tick_interval = std::chrono::milliseconds(20);

policy::attempt_result result_of(attempt_end::kind p_kind)
{
    using kind = attempt_end::kind;
    switch (p_kind)
    {
    case kind::completed:
        return policy::attempt_result::completed;
    case kind::refused:
        return policy::attempt_result::refused;
    case kind::unsent:
        return policy::attempt_result::unsent;
    case kind::broken:
    case kind::timed_out:
        return policy::attempt_result::connection_lost;
    }
    return policy::attempt_result::connection_lost;
}

} // namespace

decision_loop::decision_loop(node_id p_self, failure_domain_id p_domain,
                             backend_io& r_backends, peer_sink p_peers)
    : backends_(r_backends),
      peers_(std::move(p_peers)),
      decider_(std::move(p_self), std::move(p_domain), std::random_device{}()),
      events_(event_capacity)
{
}

void decision_loop::start()
{
    thread_ = std::thread([this] { run(); });
}

decision_loop::~decision_loop()
{
    stop();
}

void decision_loop::set_snapshot(std::shared_ptr<const snapshot> p_snapshot)
{
    const auto catalogue = p_snapshot->catalogue_;
    {
        std::lock_guard lock(mutex_);
        snapshot_ = std::move(p_snapshot);
    }
    post(policy::catalogue_changed{catalogue});
}

bool decision_loop::submit(std::shared_ptr<pending_answer> p_answer,
                           const policy::request& p_request)
{
    {
        std::lock_guard lock(mutex_);
        answers_.emplace(p_request.id_, std::move(p_answer));
    }
    if (events_.try_push(policy::request_arrived{p_request}))
    {
        return true;
    }
    forget(p_request.id_);
    return false;
}

void decision_loop::post(policy::event p_event)
{
    events_.push(std::move(p_event));
}

void decision_loop::forget(request_id p_request)
{
    std::lock_guard lock(mutex_);
    answers_.erase(p_request);
}

pending_answer::listener decision_loop::listener()
{
    return {[this](attempt_id p_attempt, std::uint32_t p_tokens) {
                post(policy::output_received{p_attempt, p_tokens});
            },
            [this](attempt_id p_attempt, const attempt_end& p_end)
            {
                if (p_end.kind_ != attempt_end::kind::completed)
                {
                    log_event(log_level::info, "attempt.failed")
                        .with("attempt", p_attempt.value())
                        .with("status", p_end.status_)
                        .with("error", p_end.message_);
                }
                post(policy::attempt_ended{p_attempt, result_of(p_end.kind_)});
            }};
}

std::size_t decision_loop::open_requests() const
{
    std::lock_guard lock(mutex_);
    return answers_.size();
}

void decision_loop::stop()
{
    if (thread_.joinable())
    {
        stopping_ = true;
        events_.close();
        thread_.join();
    }
}

void decision_loop::run()
{
    const monotonic_clock clock;
    std::vector<policy::action> actions;
    time_point next_tick = clock.now();
    while (!stopping_)
    {
        const time_point now = clock.now();
        if (now >= next_tick)
        {
            next_tick = now + tick_interval;
            decider_.handle(policy::clock_ticked{}, now, actions);
        }
        else if (!own_events_.empty())
        {
            decider_.handle(own_events_.front(), now, actions);
            own_events_.pop_front();
        }
        else if (const auto event = events_.pop(next_tick - now))
        {
            decider_.handle(*event, clock.now(), actions);
        }
        for (auto& wanted : actions)
        {
            carry_out(wanted);
        }
        actions.clear();
        flush_cancels();
    }
}

void decision_loop::carry_out(policy::action& r_action)
{
    if (const auto* sent = std::get_if<policy::dispatch>(&r_action))
    {
        carry_out(*sent);
    }
    else if (const auto* ended = std::get_if<policy::cancel_attempt>(&r_action))
    {
        carry_out(*ended);
    }
    else if (const auto* refused = std::get_if<policy::refuse>(&r_action))
    {
        carry_out(*refused);
    }
    else if (const auto* done = std::get_if<policy::complete>(&r_action))
    {
        carry_out(*done);
    }
    else
    {
        peers_(std::move(r_action));
    }
}

std::shared_ptr<pending_answer> decision_loop::find(request_id p_request)
{
    std::lock_guard lock(mutex_);
    const auto found = answers_.find(p_request);
    return found == answers_.end() ? nullptr : found->second;
}

void decision_loop::carry_out(const policy::dispatch& p_action)
{
    const auto answer = find(p_action.request_);
    if (!answer)
    {
        // The caller left; its event is on the way.
        return;
    }
    endpoint server;
    {
        std::lock_guard lock(mutex_);
        server = snapshot_->endpoints_[p_action.backend_.value()];
    }
    backend_call call =
        answer->begin(p_action.attempt_, server, p_action.priority_);
    call.sink_ = answer;
    if (!answer->idempotent())
    {
        answer->hand_over(std::move(call));
        return;
    }
    if (!backends_.submit(std::move(call)))
    {
        own_events_.emplace_back(policy::attempt_ended{
            p_action.attempt_, policy::attempt_result::refused});
    }
}

void decision_loop::carry_out(const policy::cancel_attempt& p_action)
{
    if (const auto answer = find(p_action.request_))
    {
        answer->drop(p_action.attempt_);
    }
    cancels_.push_back(p_action.attempt_);
}

void decision_loop::flush_cancels()
{
    while (!cancels_.empty() && backends_.cancel(cancels_.front()))
    {
        cancels_.pop_front();
    }
}

void decision_loop::carry_out(const policy::refuse& p_action)
{
    if (const auto answer = find(p_action.request_))
    {
        answer->end({failure_of(p_action)});
    }
}

void decision_loop::carry_out(const policy::complete& p_action)
{
    if (const auto answer = find(p_action.request_))
    {
        answer->end({std::nullopt});
    }
}

} // namespace peridotspar
