#include "standins/batch_runner.hpp"

namespace peridotspar
{

namespace
{

/// Limit on the wait in `take_output`, after which a consumer can check whether
/// its client is still connected.
constexpr auto max_output_wait = std::chrono::milliseconds(100);

} // namespace

batch_runner::batch_runner(const engine_speed& p_speed)
    : batch_(p_speed), step_thread_([this] { run(); })
{
}

batch_runner::~batch_runner()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    work_changed_.notify_all();
    step_thread_.join();
}

batch_runner::stream_id batch_runner::add(const engine_stream& p_stream)
{
    stream_id id = 0;
    {
        const std::lock_guard lock(mutex_);
        id = ++next_id_;
        outputs_[id] = {};
        batch_.add(id, p_stream);
    }
    work_changed_.notify_all();
    return id;
}

batch_runner::stream_output batch_runner::take_output(stream_id p_id)
{
    std::unique_lock lock(mutex_);
    const auto found = outputs_.find(p_id);
    if (found == outputs_.end())
    {
        return {0, true};
    }
    stream_output& output = found->second;
    output_arrived_.wait_for(lock, max_output_wait,
                             [&output]
                             { return output.tokens_ > 0 || output.failed_; });
    const stream_output new_output = output;
    output.tokens_ = 0;
    return new_output;
}

void batch_runner::remove(stream_id p_id)
{
    const std::lock_guard lock(mutex_);
    batch_.remove(p_id);
    outputs_.erase(p_id);
}

void batch_runner::fail_all()
{
    const std::lock_guard lock(mutex_);
    batch_.clear();
    for (auto& [id, output] : outputs_)
    {
        output.failed_ = true;
    }
    output_arrived_.notify_all();
}

void batch_runner::set_slowdown(double p_factor)
{
    const std::lock_guard lock(mutex_);
    batch_.set_slowdown(p_factor);
}

std::size_t batch_runner::running() const
{
    const std::lock_guard lock(mutex_);
    return batch_.running();
}

std::size_t batch_runner::waiting() const
{
    const std::lock_guard lock(mutex_);
    return batch_.waiting();
}

bool batch_runner::idle() const
{
    const std::lock_guard lock(mutex_);
    return batch_.idle();
}

std::uint64_t batch_runner::generated_tokens() const
{
    const std::lock_guard lock(mutex_);
    return generated_tokens_;
}

void batch_runner::set_load_observer(load_observer p_load_observer)
{
    const std::lock_guard lock(mutex_);
    load_observer_ = std::move(p_load_observer);
}

void batch_runner::run()
{
    auto step_end = std::chrono::steady_clock::now();
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        if (batch_.idle())
        {
            work_changed_.wait(lock,
                               [this] { return stopping_ || !batch_.idle(); });
            step_end = std::chrono::steady_clock::now();
            continue;
        }
        const auto result = batch_.step();
        step_end += result.duration_;
        lock.unlock();
        std::this_thread::sleep_until(step_end);
        lock.lock();
        for (const auto id : result.tokens_)
        {
            if (const auto found = outputs_.find(id); found != outputs_.end())
            {
                ++found->second.tokens_;
                ++generated_tokens_;
            }
        }
        if (load_observer_)
        {
            load_observer_(batch_.running(), batch_.waiting());
        }
        output_arrived_.notify_all();
    }
}

} // namespace peridotspar
