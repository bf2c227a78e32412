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

/// How fast an engine is.
struct engine_speed
{
    std::uint32_t slots_ = 8;
    duration step_time_ = std::chrono::milliseconds(8);
    duration step_time_per_stream_ = std::chrono::microseconds(250);
    duration prefill_time_per_token_ = std::chrono::microseconds(30);
    std::uint32_t prefill_chunk_tokens_ = 512; ///< At most in one step.
    double slowdown_ = 1;
};

/// One generation at an engine.
struct engine_stream
{
    std::uint32_t priority_ = 0; ///< 0 the highest.
    std::uint32_t prefill_tokens_left_ = 0;
    std::uint32_t next_token_ = 0; ///< The first when it resumes.
    std::uint32_t end_token_ = 0;
    std::uint64_t arrival_order_ = 0;
};

/// Continuous batching without time of its own: `step` yields the tokens of
/// one iteration and says how long it takes. The stand-in process and the
/// scenarios run the same model.
class engine_batch
{
public:
    using stream_id = std::uint64_t;
    struct step_result
    {
        duration duration_{};
        std::vector<stream_id> tokens_; ///< Streams that got one token each.
        std::vector<stream_id> ended_;  ///< Those that got their last one.
    };

    explicit engine_batch(const engine_speed& p_speed) : speed_(p_speed) {}

    void add(stream_id p_id, engine_stream p_stream);
    /// Takes a stream out, finished or not.
    void remove(stream_id p_id);
    void clear();
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
