#pragma once

#include "backend/buffered_client.hpp"
#include "store/object_types.hpp"

#include <functional>
#include <random>
#include <string>

namespace peridotspar
{

/// Follows all objects of one kind: lists them, then watches for changes. An
/// outage only delays it. Belongs to the thread of its context.
class object_watcher
{
public:
    class listener
    {
    public:
        virtual ~listener() = default;
        /// All objects of the kind, as of a revision.
        virtual void on_list(const std::string& p_kind,
                             const object_page& p_all) = 0;
        virtual void on_changes(const std::string& p_kind,
                                const object_changes& p_changes) = 0;
        /// The store didn't answer, or answers again.
        virtual void on_contact_changed(const std::string& p_kind,
                                        bool p_in_contact) = 0;
    };

    object_watcher(backend::buffered_client& p_client,
                   std::string p_store_address, std::string p_kind,
                   listener& p_listener, std::uint64_t p_seed);

    /// Whether the store is followed; a pause ends with a new list. A call
    /// that is under way is still heard.
    void set_active(bool p_active);
    /// Whether the last call was answered and the kind is known.
    [[nodiscard]] bool is_in_contact() const
    {
        return active_ && listed_ && reachable_;
    }
    /// Makes the next call if one is due; call it regularly.
    void tick(time_point p_now);
    [[nodiscard]] std::uint64_t request_count() const { return request_count_; }

private:
    void list();
    void watch();
    void handle_page(const backend::client_response& p_response);
    void handle_changes(const backend::client_response& p_response);
    void record_failure(int p_status);
    void record_success();

    backend::buffered_client& client_;
    std::string store_address_;
    std::string kind_;
    listener& listener_;
    std::mt19937_64 random_;
    boot_clock clock_;
    object_page partial_list_; ///< Pages of the list that came so far.
    bool active_ = true;
    bool listed_ = false;
    bool request_pending_ = false;
    bool reachable_ = true;
    std::uint64_t revision_ = 0;
    time_point next_request_at_{};
    unsigned consecutive_failures_ = 0;
    std::uint64_t request_count_ = 0;
};

} // namespace peridotspar
