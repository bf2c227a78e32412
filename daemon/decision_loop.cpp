#include "daemon/decision_loop.hpp"

#include "core/log.hpp"
#include "daemon/error_response.hpp"

#include <random>
#include <utility>

namespace peridotspar
{

namespace
{

constexpr std::size_t event_capacity = 65536;
/// Interval of the events that drive the periodic work of the decider.
constexpr duration tick_interval = std::chrono::milliseconds(20);

policy::attempt_result to_attempt_result(attempt_end::kind p_kind)
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
                             backend_io& r_backends, peer_sink p_peer_sink)
    : backends_(r_backends),
      peer_sink_(std::move(p_peer_sink)),
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

bool decision_loop::submit(std::shared_ptr<pending_response> p_response,
                           const policy::request& p_request)
{
    {
        std::lock_guard lock(mutex_);
        responses_.emplace(p_request.id_, std::move(p_response));
    }
    if (events_.try_push(policy::request_arrived{p_request}))
    {
        return true;
    }
    unregister(p_request.id_);
    return false;
}

void decision_loop::post(policy::event p_event)
{
    events_.push(std::move(p_event));
}

void decision_loop::unregister(request_id p_request)
{
    std::lock_guard lock(mutex_);
    responses_.erase(p_request);
}

pending_response::listener decision_loop::make_listener()
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
                post(policy::attempt_ended{p_attempt,
                                           to_attempt_result(p_end.kind_)});
            }};
}

std::size_t decision_loop::open_requests() const
{
    std::lock_guard lock(mutex_);
    return responses_.size();
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
        else if (!internal_events_.empty())
        {
            decider_.handle(internal_events_.front(), now, actions);
            internal_events_.pop_front();
        }
        else if (const auto event = events_.pop(next_tick - now))
        {
            decider_.handle(*event, clock.now(), actions);
        }
        for (auto& action : actions)
        {
            execute(action);
        }
        actions.clear();
        flush_cancels();
    }
}

void decision_loop::execute(policy::action& r_action)
{
    if (const auto* dispatch = std::get_if<policy::dispatch>(&r_action))
    {
        execute(*dispatch);
    }
    else if (const auto* cancel =
                 std::get_if<policy::cancel_attempt>(&r_action))
    {
        execute(*cancel);
    }
    else if (const auto* refusal = std::get_if<policy::refuse>(&r_action))
    {
        execute(*refusal);
    }
    else if (const auto* completion = std::get_if<policy::complete>(&r_action))
    {
        execute(*completion);
    }
    else
    {
        peer_sink_(std::move(r_action));
    }
}

std::shared_ptr<pending_response>
decision_loop::find_response(request_id p_request)
{
    std::lock_guard lock(mutex_);
    const auto found = responses_.find(p_request);
    return found == responses_.end() ? nullptr : found->second;
}

void decision_loop::execute(const policy::dispatch& p_action)
{
    const auto response = find_response(p_action.request_);
    if (!response)
    {
        // The worker has already finished the request, for example because
        // the caller disconnected; the event that reports this is queued.
        return;
    }
    endpoint server;
    {
        std::lock_guard lock(mutex_);
        server = snapshot_->endpoints_[p_action.backend_.value()];
    }
    backend_call call =
        response->begin_attempt(p_action.attempt_, server, p_action.priority_);
    call.sink_ = response;
    if (!response->idempotent())
    {
        response->queue_for_claim(std::move(call));
        return;
    }
    if (!backends_.submit(std::move(call)))
    {
        internal_events_.emplace_back(policy::attempt_ended{
            p_action.attempt_, policy::attempt_result::refused});
    }
}

void decision_loop::execute(const policy::cancel_attempt& p_action)
{
    if (const auto response = find_response(p_action.request_))
    {
        response->abandon_attempt(p_action.attempt_);
    }
    pending_cancels_.push_back(p_action.attempt_);
}

void decision_loop::flush_cancels()
{
    while (!pending_cancels_.empty() &&
           backends_.cancel(pending_cancels_.front()))
    {
        pending_cancels_.pop_front();
    }
}

void decision_loop::execute(const policy::refuse& p_action)
{
    if (const auto response = find_response(p_action.request_))
    {
        response->finish({to_failure(p_action)});
    }
}

void decision_loop::execute(const policy::complete& p_action)
{
    if (const auto response = find_response(p_action.request_))
    {
        response->finish({std::nullopt});
    }
}

} // namespace peridotspar
