#include "standins/batch_runner.hpp"

namespace peridotspar
{

namespace
{

constexpr auto longest_wait = std::chrono::milliseconds(100);

} // namespace

batch_runner::batch_runner(const engine_speed& p_speed)
    : batch_(p_speed), stepper_([this] { run(); })
{
}

batch_runner::~batch_runner()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    stepper_.join();
}

batch_runner::stream_id batch_runner::add(const engine_stream& p_stream)
{
    stream_id id = 0;
    {
        const std::lock_guard lock(mutex_);
        id = ++next_id_;
        boxes_[id] = {};
        batch_.add(id, p_stream);
    }
    changed_.notify_all();
    return id;
}

batch_runner::mailbox batch_runner::take(stream_id p_id)
{
    std::unique_lock lock(mutex_);
    const auto found = boxes_.find(p_id);
    if (found == boxes_.end())
    {
        return {0, true};
    }
    mailbox& box = found->second;
    arrived_.wait_for(lock, longest_wait,
                      [&box] { return box.tokens_ > 0 || box.broken_; });
    const mailbox taken = box;
    box.tokens_ = 0;
    return taken;
}

void batch_runner::remove(stream_id p_id)
{
    const std::lock_guard lock(mutex_);
    batch_.remove(p_id);
    boxes_.erase(p_id);
}

void batch_runner::break_all()
{
    const std::lock_guard lock(mutex_);
    batch_.clear();
    for (auto& [id, box] : boxes_)
    {
        box.broken_ = true;
    }
    arrived_.notify_all();
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

std::uint64_t batch_runner::generated() const
{
    const std::lock_guard lock(mutex_);
    return generated_;
}

void batch_runner::set_observer(observer p_observer)
{
    const std::lock_guard lock(mutex_);
    observer_ = std::move(p_observer);
}

void batch_runner::run()
{
    auto next = std::chrono::steady_clock::now();
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        if (batch_.idle())
        {
            changed_.wait(lock, [this] { return stopping_ || !batch_.idle(); });
            next = std::chrono::steady_clock::now();
            continue;
        }
        const auto result = batch_.step();
        next += result.took_;
        lock.unlock();
        std::this_thread::sleep_until(next);
        lock.lock();
        for (const auto id : result.tokens_)
        {
            if (const auto found = boxes_.find(id); found != boxes_.end())
            {
                ++found->second.tokens_;
                ++generated_;
            }
        }
        if (observer_)
        {
            observer_(batch_.running(), batch_.waiting());
        }
        arrived_.notify_all();
    }
}

} // namespace peridotspar
