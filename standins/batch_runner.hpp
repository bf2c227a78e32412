#pragma once

#include "standins/model_engine.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace peridotspar
{

/// Steps a batch in real time on a thread of its own and hands out its tokens.
/// Every member may be called from any thread.
class batch_runner
{
public:
    /// What one stream has to take.
    struct stream_output
    {
        std::uint32_t tokens_ = 0;
        bool failed_ = false; ///< The engine crashed.
    };
    using stream_id = engine_batch::stream_id;

    explicit batch_runner(const engine_speed& p_speed);
    ~batch_runner();
    batch_runner(const batch_runner&) = delete;
    batch_runner& operator=(const batch_runner&) = delete;

    stream_id add(const engine_stream& p_stream);
    /// Tokens since the last call; waits a little for the first one.
    [[nodiscard]] stream_output take_output(stream_id p_id);
    void remove(stream_id p_id);
    /// Breaks every stream.
    void fail_all();

    void set_slowdown(double p_factor);
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] bool idle() const;
    [[nodiscard]] std::uint64_t generated_tokens() const;
    /// Called after each step, on the runner's thread, with what runs and
    /// waits.
    using load_observer = std::function<void(std::size_t, std::size_t)>;
    void set_load_observer(load_observer p_load_observer);

private:
    void run();

    mutable std::mutex mutex_;
    std::condition_variable work_changed_;
    std::condition_variable output_arrived_;
    engine_batch batch_;
    std::unordered_map<stream_id, stream_output> outputs_;
    load_observer load_observer_;
    stream_id next_id_ = 0;
    std::uint64_t generated_tokens_ = 0;
    bool stopping_ = false;
    std::thread step_thread_;
};

} // namespace peridotspar
