#include "standins/model_engine.hpp"

#include <algorithm>
#include <tuple>

namespace peridotspar
{

void engine_batch::add(stream_id p_id, engine_stream p_stream)
{
    p_stream.order_ = next_order_++;
    waiting_.emplace(p_id, p_stream);
}

void engine_batch::remove(stream_id p_id)
{
    running_.erase(p_id);
    waiting_.erase(p_id);
}

void engine_batch::clear()
{
    running_.clear();
    waiting_.clear();
}

void engine_batch::admit()
{
    while (running_.size() < speed_.slots_ && !waiting_.empty())
    {
        const auto next = std::min_element(
            waiting_.begin(), waiting_.end(),
            [](const auto& p_left, const auto& p_right)
            {
                return std::tie(p_left.second.priority_, p_left.second.order_) <
                       std::tie(p_right.second.priority_,
                                p_right.second.order_);
            });
        running_.insert(*next);
        waiting_.erase(next);
    }
}

engine_batch::step_result engine_batch::step()
{
    admit();
    step_result result;
    std::uint32_t chunk = speed_.prefill_chunk_tokens_;
    std::uint32_t prefilled = 0;
    std::size_t decoding = 0;
    for (auto& [id, stream] : running_)
    {
        if (stream.prefill_left_ > 0)
        {
            const std::uint32_t part = std::min(stream.prefill_left_, chunk);
            stream.prefill_left_ -= part;
            chunk -= part;
            prefilled += part;
        }
        if (stream.prefill_left_ > 0)
        {
            continue;
        }
        ++decoding;
        ++stream.next_token_;
        result.tokens_.push_back(id);
        if (stream.next_token_ >= stream.end_token_)
        {
            result.ended_.push_back(id);
        }
    }
    for (const stream_id id : result.ended_)
    {
        running_.erase(id);
    }
    const auto work =
        speed_.step_ +
        speed_.step_per_stream_ * static_cast<std::int64_t>(decoding) +
        speed_.prefill_per_token_ * static_cast<std::int64_t>(prefilled);
    result.took_ = from_seconds(to_seconds(work) * speed_.slowdown_);
    return result;
}

} // namespace peridotspar
