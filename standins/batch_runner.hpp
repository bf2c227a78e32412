#pragma once

#include "standins/model_engine.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace peridotspar
{

/// Runs an engine batch in real time on its own thread and passes its tokens to
/// the threads that serve the streams. All members are thread-safe.
class batch_runner
{
public:
    /// Output of a stream that its consumer hasn't taken yet.
    struct stream_output
    {
        std::uint32_t tokens_ = 0;
        bool failed_ = false; ///< The engine crashed; no more tokens follow.
    };
    using stream_id = engine_batch::stream_id;

    explicit batch_runner(const engine_speed& p_speed);
    ~batch_runner();
    batch_runner(const batch_runner&) = delete;
    batch_runner& operator=(const batch_runner&) = delete;

    /// Adds a stream to the batch.
    stream_id add(const engine_stream& p_stream);
    /// Takes the output since the last call. Waits up to 100 ms for a token or
    /// a failure; returns no tokens if there is none. A removed stream has
    /// failed.
    [[nodiscard]] stream_output take_output(stream_id p_id);
    /// Removes a stream, finished or not.
    void remove(stream_id p_id);
    /// Fails all streams, as a crash of the engine does.
    void fail_all();

    void set_slowdown(double p_factor);
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] bool idle() const;
    [[nodiscard]] std::uint64_t generated_tokens() const;
    /// Called on the runner's thread after each step with the numbers of
    /// running and waiting streams. It must not call this object, whose mutex
    /// is held.
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
