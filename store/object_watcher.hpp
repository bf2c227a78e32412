#pragma once

#include "backend/buffered_client.hpp"
#include "store/list_cursor.hpp"
#include "store/object_types.hpp"

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace peridotspar
{

/// Lists all objects of one kind, then watches them for changes. An outage of
/// the store only delays it: failed requests are retried with backoff. A watch
/// that waits doesn't show whether the store still responds on its connection;
/// the caller bounds the wait and decides when to check. Not thread-safe: use
/// it only on the thread of the client's I/O context.
class object_watcher
{
public:
    /// Receives the objects and their changes, on the thread of the watcher.
    class listener
    {
    public:
        virtual ~listener() = default;
        /// Called with the objects of the kind after each list, without those
        /// that `options::is_wanted_` rejects. Revisions are those of
        /// `revision_in_era()`.
        virtual void on_list(const std::string& p_kind,
                             const object_list& p_list) = 0;
        /// Called for each response with changes since the list or the last
        /// call.
        virtual void on_changes(const std::string& p_kind,
                                const object_changes& p_changes) = 0;
        /// Called when the store stops responding properly and when it responds
        /// again, with whether it does.
        virtual void on_contact_changed(const std::string& p_kind,
                                        bool p_in_contact) = 0;
        /// Called before the list of a later era of the store: it came back
        /// from an older copy, which may lack what is still true.
        virtual void on_era_changed(const std::string& p_kind) = 0;
    };

    struct options
    {
        std::string store_address_; ///< IP:PORT.
        std::string kind_;
        /// Objects of a list that it rejects aren't kept: a list may be larger
        /// than a node can hold, and most of it another writer's.
        std::function<bool(const object_record&)> is_wanted_ =
            [](const object_record&) { return true; };
        std::uint64_t seed_ = 1;
    };
    object_watcher(backend::buffered_client& p_client, options p_options,
                   listener& p_listener);

    /// Pauses or resumes the watcher; after a pause, the objects are listed
    /// anew. The response to a request in progress is still handled during a
    /// pause, and a watch that outlasts the pause goes on without a new list.
    /// The listener may know newer changes by then.
    void set_active(bool p_active);
    /// Whether the watcher is active, has a complete list and got a valid
    /// response to its last request.
    [[nodiscard]] bool is_in_contact() const
    {
        return active_ && listed_ && reachable_;
    }
    /// Failed requests since the last success or since it was resumed; zero
    /// during a pause.
    [[nodiscard]] unsigned consecutive_failures() const
    {
        return active_ ? consecutive_failures_ : 0;
    }
    /// Sets how long the store may wait for a change before it responds, from
    /// the next watch on.
    void set_watch_wait(duration p_wait) { watch_wait_ = p_wait; }
    /// Gives up a watch that waits and asks at once, on a new connection, for
    /// the changes so far. Does nothing while a response is due soon.
    void check_now();
    /// Gives up a watch that waits and lists the objects anew. What is known
    /// stays in use meanwhile. Does nothing before the first list or while a
    /// response is due soon.
    void list_now();
    /// Sends the next request if it is due. Call this regularly.
    void tick(time_point p_now);
    /// When the store last responded properly; the start of the clock if it
    /// never did.
    [[nodiscard]] time_point last_response_at() const
    {
        return last_response_at_;
    }
    /// When a call last failed that the store should have answered at once, or
    /// that it refused for another reason than its rate; nullopt if none did. A
    /// watch that waits may be cut off, or its connection may fall silent,
    /// while the store is well, so such a failure alone doesn't count.
    [[nodiscard]] std::optional<time_point> last_failure_at() const
    {
        return last_failure_at_;
    }
    /// The era of the store's last response; zero if it names none.
    [[nodiscard]] std::uint64_t store_era() const { return era_; }
    /// Number of requests sent to the store.
    [[nodiscard]] std::uint64_t request_count() const { return request_count_; }

private:
    void list();
    void list_page();
    void finish_list(list_cursor::end p_end);
    /// Keeps the wanted objects of a page. Returns false if the list is then
    /// larger than a node may hold.
    bool keep(object_page& r_page);
    void watch();
    /// Whether a response is of an earlier era than what is known, and so says
    /// nothing any more. The request is then repeated.
    bool is_outdated(const backend::client_response& p_response);
    /// Notices the era of a response. Returns false if it isn't the era of what
    /// is known, which must then be listed anew.
    bool is_same_era(const backend::client_response& p_response);
    /// Gives up a watch that waits, so that the next request is sent at once.
    /// Returns false if that isn't possible.
    bool interrupt_watch();
    /// Adapts the time allowed for a response to the one that just came.
    void adapt_response_time();
    void handle_page(const backend::client_response& p_response);
    void handle_changes(const backend::client_response& p_response);
    /// Lists the objects after changes that can't be read: the same watch would
    /// get them again, and nothing newer.
    void list_instead_of(const std::string& p_error);
    /// Delays the next request, so that it fetches more changes at once.
    void delay_after_changes(time_point p_now);
    void
    send(std::string p_request, duration p_timeout,
         void (object_watcher::*p_handle)(const backend::client_response&));
    void record_failure(int p_status);
    void record_success();

    backend::buffered_client& client_;
    options options_;
    listener& listener_;
    std::mt19937_64 random_;
    boot_clock clock_;
    list_cursor cursor_;
    object_list partial_list_;      ///< Of the pages received so far.
    std::size_t partial_bytes_ = 0; ///< Names and documents in it.
    std::size_t unwanted_ = 0;      ///< Objects of the list that weren't kept.
    bool listing_ = false;          ///< Some pages were received.
    time_point list_begun_at_{};
    /// When a list that ended without all objects is repeated.
    std::optional<time_point> next_list_;
    bool active_ = true;
    bool listed_ = false;
    bool request_pending_ = false;
    bool reachable_ = true;
    bool check_due_ = false; ///< The next watch must not wait for a change.
    duration watch_wait_;
    duration current_wait_{}; ///< Of the watch in progress.
    duration response_time_;  ///< Allowed beyond the wait.
    backend::buffered_client::call_id call_;
    std::uint64_t revision_ = 0;
    std::uint64_t era_ = 0;
    time_point next_request_at_{};
    time_point sent_at_{}; ///< When the last request was sent.
    time_point last_response_at_{};
    std::optional<time_point> last_failure_at_;
    unsigned burst_length_ = 0;    ///< Responses with changes in a row.
    time_point last_changes_at_{}; ///< Last response with changes.
    unsigned consecutive_failures_ = 0;
    std::uint64_t request_count_ = 0;
};

} // namespace peridotspar
