#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace peridotspar::standin
{

using json = nlohmann::json;

/// What the store answers to a call.
struct store_response
{
    int status_ = 0;
    json body_;
};

/// The cooperative platform's store, as its published form says: objects by
/// kind and name, one revision counter, lists by pages, watches, conditional
/// writes, finalizers. Every member may be called from any thread.
class in_memory_store
{
public:
    using revision = std::optional<std::uint64_t>;

    [[nodiscard]] store_response get(const std::string& p_kind,
                                     const std::string& p_name) const;
    /// A page of the names after `p_after`, in order.
    [[nodiscard]] store_response list(const std::string& p_kind,
                                      const std::string& p_after) const;
    /// Waits up to `p_wait` for changes after a revision; 410 if its history
    /// is gone.
    [[nodiscard]] store_response watch(const std::string& p_kind,
                                       std::uint64_t p_since,
                                       std::chrono::milliseconds p_wait) const;
    store_response create(const std::string& p_kind, const json& p_object);
    /// `p_revision`: 409 unless it is the object's.
    store_response replace(const std::string& p_kind, const std::string& p_name,
                           revision p_revision, const json& p_object);
    store_response set_status(const std::string& p_kind,
                              const std::string& p_name, revision p_revision,
                              const json& p_object);
    store_response remove(const std::string& p_kind, const std::string& p_name,
                          revision p_revision);

    /// Drops the history: watches from before now find it gone.
    void forget_history();

private:
    using objects = std::map<std::string, json>; ///< By name.
    struct event
    {
        std::uint64_t revision_ = 0;
        std::string kind_;
        json object_;
        bool removed_ = false;
    };
    /// The object, if there is one and its revision is the one asked for.
    [[nodiscard]] json* find(const std::string& p_kind,
                             const std::string& p_name, revision p_revision,
                             store_response& r_error);
    void record_change(const std::string& p_kind, json& r_object,
                       bool p_removed);
    store_response commit_or_remove(const std::string& p_kind,
                                    const std::string& p_name, json& r_object);

    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::map<std::string, objects> kinds_;
    std::deque<event> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t history_start_ = 1; ///< Changes after it are known.
};

} // namespace peridotspar::standin
