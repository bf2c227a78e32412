#include "standins/model_engine.hpp"

#include <algorithm>
#include <tuple>

namespace peridotspar
{

void engine_batch::add(stream_id p_id, engine_stream p_stream)
{
    p_stream.arrival_order_ = next_arrival_order_++;
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
        const auto next =
            std::min_element(waiting_.begin(), waiting_.end(),
                             [](const auto& p_left, const auto& p_right)
                             {
                                 return std::tie(p_left.second.priority_,
                                                 p_left.second.arrival_order_) <
                                        std::tie(p_right.second.priority_,
                                                 p_right.second.arrival_order_);
                             });
        running_.insert(*next);
        waiting_.erase(next);
    }
}

engine_batch::step_result engine_batch::step()
{
    admit();
    step_result result;
    std::uint32_t prefill_budget = speed_.prefill_chunk_tokens_;
    std::uint32_t prefilled = 0;
    std::size_t decoding = 0;
    for (auto& [id, stream] : running_)
    {
        if (stream.prefill_tokens_left_ > 0)
        {
            const std::uint32_t part =
                std::min(stream.prefill_tokens_left_, prefill_budget);
            stream.prefill_tokens_left_ -= part;
            prefill_budget -= part;
            prefilled += part;
        }
        if (stream.prefill_tokens_left_ > 0)
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
    const auto base_duration =
        speed_.step_time_ +
        speed_.step_time_per_stream_ * static_cast<std::int64_t>(decoding) +
        speed_.prefill_time_per_token_ * static_cast<std::int64_t>(prefilled);
    result.duration_ =
        from_seconds(to_seconds(base_duration) * speed_.slowdown_);
    return result;
}

} // namespace peridotspar
