#pragma once

#include "backend/buffered_client.hpp"
#include "routing/main_version_policy.hpp"
#include "routing/stream_versions.hpp"
#include "store/list_cursor.hpp"
#include "store/object_types.hpp"

#include <map>
#include <optional>
#include <random>
#include <string>

namespace peridotspar
{

/// Keeps `stream_versions` and the store in step: lists the origins of streams
/// when they are wanted, writes those that this node recorded and, on nodes
/// that follow the store, the services' main versions. All writes are
/// conditional, so one that takes effect late undoes no other. Not thread-safe:
/// use it only on the thread of the client's I/O context.
class stream_version_sync
{
public:
    struct options
    {
        std::string store_address_; ///< IP:PORT.
        std::string peer_address_;  ///< Of this node, IP:PORT.
        bool first_start_ = false;  ///< Of the whole system.
        std::uint64_t seed_ = 1;
    };
    stream_version_sync(backend::buffered_client& p_client,
                        routing::stream_versions& p_versions,
                        options p_options);

    /// Calls the store if that is due. `p_routes` may be null.
    /// `p_follows_store`: this node follows the store and gets answers.
    void tick(const routing::route_table* p_routes, bool p_follows_store,
              time_point p_now);
    /// Number of calls to the store.
    [[nodiscard]] std::uint64_t request_count() const { return request_count_; }

private:
    void send(std::string p_request, void (stream_version_sync::*p_handle)(
                                         const backend::client_response&));
    void list_if_due(bool p_may_poll, time_point p_now);
    void list();
    void handle_page(const backend::client_response& p_response);
    void delay_next_list();
    void check_era(std::uint64_t p_era);
    void finish_list(list_cursor::end p_end);
    void save_if_due(time_point p_now);
    void handle_saved(const backend::client_response& p_response);
    /// Writes a main version that should change, if any.
    void update_main_versions(time_point p_now);
    void handle_main_version(const backend::client_response& p_response);
    /// Deletes the streams of a node that hasn't written for long.
    void delete_old_streams(time_point p_now);
    /// For how long after their begin most streams of the service may be taken
    /// up, by the configuration in force; zero if it has none that may be.
    [[nodiscard]] duration
    unrecorded_time(const routing::service_name& p_service) const;
    /// Whether some service's streams need records, as far as this node knows.
    [[nodiscard]] bool lacks_main_version() const;
    void read_unrecorded_times(const routing::route_table* p_routes);

    /// An object with a node's streams, as last listed.
    struct listed_object
    {
        std::uint64_t revision_ = 0;
        time_point unchanged_since_{};
    };

    backend::buffered_client& client_;
    routing::stream_versions& versions_;
    options options_;
    std::string own_name_;
    routing::main_version_policy policy_;
    std::mt19937_64 random_;
    boot_clock clock_;
    std::map<routing::service_name, duration> unrecorded_times_;
    std::uint64_t config_version_ = 0; ///< Of `unrecorded_times_`.
    list_cursor cursor_;
    routing::stream_origins partial_list_;
    std::map<std::string, std::uint64_t> partial_objects_; ///< Revisions.
    std::map<std::string, listed_object> objects_;
    time_point list_asked_at_{};
    time_point next_list_{};
    time_point next_poll_{};
    time_point next_save_{};
    /// Of this node's object; 0 if there is none, nullopt if it isn't known.
    std::optional<std::uint64_t> own_revision_ = 0;
    std::uint64_t saving_ = 0; ///< Last record in the write in progress.
    std::size_t list_bytes_ = 0;
    time_point main_written_at_{}; ///< When a main version was last written.
    std::optional<std::uint64_t> era_; ///< Of the store, as last listed.
    unsigned list_failures_ = 0;       ///< Since the last success.
    bool listing_ = false;
    bool list_wanted_ = false;
    bool writing_ = false;
    std::uint64_t request_count_ = 0;
};

} // namespace peridotspar
