#pragma once

#include "core/clock.hpp"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/circular_buffer.hpp>

namespace peridotspar
{

/// A bounded first-in, first-out queue between threads. Thread-safe.
template <class Item>
class bounded_queue
{
public:
    explicit bounded_queue(std::size_t p_capacity) : items_(p_capacity) {}

    /// Adds an item. Returns false if the queue is full or closed.
    [[nodiscard]] bool try_push(Item p_item)
    {
        {
            std::lock_guard lock(mutex_);
            if (closed_ || items_.full())
            {
                return false;
            }
            items_.push_back(std::move(p_item));
        }
        not_empty_.notify_one();
        return true;
    }

    /// Adds an item, blocking while the queue is full. Returns false if the
    /// queue is closed.
    bool push(Item p_item)
    {
        {
            std::unique_lock lock(mutex_);
            not_full_.wait(lock, [this] { return closed_ || !items_.full(); });
            if (closed_)
            {
                return false;
            }
            items_.push_back(std::move(p_item));
        }
        not_empty_.notify_one();
        return true;
    }

    /// Removes and returns the oldest item, blocking while the queue is empty.
    /// Returns nothing after `p_wait`, or if the queue is closed and empty.
    std::optional<Item> pop(duration p_wait)
    {
        std::optional<Item> item;
        {
            std::unique_lock lock(mutex_);
            not_empty_.wait_for(lock, p_wait,
                                [this] { return closed_ || !items_.empty(); });
            if (items_.empty())
            {
                return std::nullopt;
            }
            item.emplace(std::move(items_.front()));
            items_.pop_front();
        }
        not_full_.notify_one();
        return item;
    }

    /// Rejects further items and wakes all blocked threads. Items in the queue
    /// can still be removed.
    void close()
    {
        {
            std::lock_guard lock(mutex_);
            closed_ = true;
        }
        not_empty_.notify_all();
        not_full_.notify_all();
    }

    [[nodiscard]] bool is_closed() const
    {
        std::lock_guard lock(mutex_);
        return closed_;
    }

    [[nodiscard]] std::size_t size() const
    {
        std::lock_guard lock(mutex_);
        return items_.size();
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable not_empty_;
    std::condition_variable not_full_;
    boost::circular_buffer<Item> items_;
    bool closed_ = false;
};

} // namespace peridotspar
