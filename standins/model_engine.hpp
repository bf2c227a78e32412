#pragma once

#include "core/clock.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotspar
{

/// Speed of a simulated engine. A step lasts the sum of the three times below,
/// multiplied by the slowdown.
struct engine_speed
{
    std::uint32_t slots_ = 8; ///< Most streams in one batch.
    duration step_time_ = std::chrono::milliseconds(8); ///< Of an empty step.
    /// Added for each stream that decodes a token.
    duration step_time_per_stream_ = std::chrono::microseconds(250);
    /// Added for each prompt token that is prefilled.
    duration prefill_time_per_token_ = std::chrono::microseconds(30);
    std::uint32_t prefill_chunk_tokens_ = 512; ///< Most in one step.
    double slowdown_ = 1; ///< Factor, raised to simulate a slow engine.
};

/// One request that an engine runs.
struct engine_stream
{
    std::uint32_t priority_ = 0;            ///< 0 is the highest.
    std::uint32_t prefill_tokens_left_ = 0; ///< Prompt tokens to process.
    /// Index of the next output token; not 0 at the start if the request
    /// resumes an earlier attempt.
    std::uint32_t next_token_ = 0;
    std::uint32_t end_token_ = 0;     ///< Number of output tokens.
    std::uint64_t arrival_order_ = 0; ///< Set by `engine_batch::add`.
};

/// Model of an engine with continuous batching. It reads no clock: `step`
/// returns the tokens of one iteration and its duration. The stand-in process
/// and the simulated scenarios use the same model. Calls must not overlap.
class engine_batch
{
public:
    using stream_id = std::uint64_t;
    struct step_result
    {
        duration duration_{};
        std::vector<stream_id> tokens_; ///< Streams that produced one token.
        std::vector<stream_id> ended_;  ///< Streams that are complete.
    };

    explicit engine_batch(const engine_speed& p_speed) : speed_(p_speed) {}

    /// Queues a stream. It joins the batch, in order of priority and arrival,
    /// when a slot is free.
    void add(stream_id p_id, engine_stream p_stream);
    /// Removes a stream, whether it is queued, running or finished.
    void remove(stream_id p_id);
    /// Removes all streams.
    void clear();
    /// Admits queued streams and runs one iteration.
    [[nodiscard]] step_result step();

    void set_slowdown(double p_factor) { speed_.slowdown_ = p_factor; }
    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] bool idle() const
    {
        return running_.empty() && waiting_.empty();
    }

private:
    void admit();

    engine_speed speed_;
    std::map<stream_id, engine_stream> running_;
    std::map<stream_id, engine_stream> waiting_;
    std::uint64_t next_arrival_order_ = 0;
};

} // namespace peridotspar
