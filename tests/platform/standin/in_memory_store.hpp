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

/// The store's response to a call: HTTP status and body.
struct store_response
{
    int status_ = 0;
    json body_;

    /// The body as it is sent, with the bytes of raw entries as they are.
    [[nodiscard]] std::string text() const;
};

/// The cooperative platform's object store as its published interface describes
/// it: objects by kind and name, one revision counter, paged lists, watches,
/// conditional writes and finalizers. Thread-safe.
class in_memory_store
{
public:
    using revision = std::optional<std::uint64_t>;

    [[nodiscard]] store_response get(const std::string& p_kind,
                                     const std::string& p_name) const;
    /// A page of the objects whose names come after `p_after`, ordered by name:
    /// 500 of them, or those up to 1 MB.
    [[nodiscard]] store_response list(const std::string& p_kind,
                                      const std::string& p_after) const;
    /// Waits up to `p_wait` for changes after a revision. Answers 410 if the
    /// history doesn't go back to that revision, or if there is none such.
    [[nodiscard]] store_response watch(const std::string& p_kind,
                                       std::uint64_t p_since,
                                       std::chrono::milliseconds p_wait) const;
    /// Answers 409 with the existing object if there is one of that name.
    store_response create(const std::string& p_kind, const json& p_object);
    /// Creates or replaces an entry of another writer, whose content the store
    /// passes on byte by byte, whatever it holds.
    store_response put_raw(const std::string& p_kind, const std::string& p_name,
                           const std::string& p_content);
    /// Replaces an object's spec, and its finalizers if given. Answers 409 if
    /// `p_revision` is given and isn't the object's revision; so do
    /// set_status() and remove().
    store_response replace(const std::string& p_kind, const std::string& p_name,
                           revision p_revision, const json& p_object);
    store_response set_status(const std::string& p_kind,
                              const std::string& p_name, revision p_revision,
                              const json& p_object);
    /// Removes an object, or marks it as deleting while it has finalizers.
    store_response remove(const std::string& p_kind, const std::string& p_name,
                          revision p_revision);

    /// Drops the history, so that watches from earlier revisions get 410.
    void forget_history();
    /// Keeps a copy of all objects.
    void make_copy();
    /// Comes back from the copy: what was written since is gone, its revisions
    /// are given out again, and a new era begins.
    void restore_copy();
    /// Rises by one each time that the store comes back from a copy.
    [[nodiscard]] std::uint64_t era() const;

private:
    using objects = std::map<std::string, json>; ///< By name.
    struct event
    {
        std::uint64_t revision_ = 0;
        std::string kind_;
        json object_;
        bool removed_ = false;
    };
    /// The object, or null with the error response if there is none or its
    /// revision isn't `p_revision`.
    [[nodiscard]] json* find(const std::string& p_kind,
                             const std::string& p_name, revision p_revision,
                             store_response& r_error);
    /// Gives the object a new revision and wakes the watches.
    void record_change(const std::string& p_kind, json& r_object,
                       bool p_removed);
    /// Records a change of the object, which is removed if it is marked as
    /// deleting and has no finalizers left.
    store_response commit_or_remove(const std::string& p_kind,
                                    const std::string& p_name, json& r_object);

    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::map<std::string, objects> kinds_;
    std::map<std::string, objects> copy_;
    std::uint64_t copy_revision_ = 1;
    std::uint64_t era_ = 1;
    std::deque<event> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t history_start_ = 1; ///< Later changes are known.
};

} // namespace peridotspar::standin
