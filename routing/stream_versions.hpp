#pragma once

#include "core/clock.hpp"
#include "routing/route_table.hpp"
#include "routing/server_list.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace peridotspar::routing
{

/// Where a stream began: it may go on at servers of this service and version
/// only.
struct stream_origin
{
    service_name service_;
    std::string version_;

    friend bool operator==(const stream_origin&,
                           const stream_origin&) = default;
};

/// What this node knows of a stream's origin.
struct known_origin
{
    stream_origin origin_;
    time_point known_since_{};
    bool from_store_ = false; ///< Another node, or run of this one, began it.
};

/// A version for which no record of a stream's origin is needed: a stream of
/// the service without a record began at it. Empty while there is no such
/// version and each stream needs a record.
struct main_version
{
    std::string version_;
    std::uint64_t revision_ = 0; ///< Of its object in the store.
    /// Longest time after its begin for which a stream without a record may be
    /// taken up; while there is no main version, that of the one before. Zero
    /// if the object doesn't say it, as older builds write none: then it isn't
    /// limited.
    duration unrecorded_time_{};
};

/// What the nodes keep in the store of the origins of streams.
struct stream_origins
{
    std::map<service_name, main_version> main_versions_;
    std::map<std::string, stream_origin> streams_; ///< By attempt.
    /// Whether all objects could be read. Otherwise there may be records of
    /// streams that aren't here.
    bool is_whole_ = true;
};

/// The origins of resumable streams that this node began or learnt of. A stream
/// at another version than its service's main version, or that its caller may
/// take up for longer than the main version allows, must be in the store before
/// its caller gets an event. Then every node can tell the origin of each
/// stream, also after all lost their memory. Not thread-safe.
class stream_versions
{
public:
    /// Counts the servers of each version.
    void set_servers(const server_list::entries& p_servers, time_point p_now);
    /// Remembers where a stream begins, until its caller can't take it up any
    /// more. `p_single_service`: the route leads to one service only.
    void record_begin(const std::string& p_attempt,
                      const stream_origin& p_origin, bool p_single_service,
                      time_point p_expires_at, time_point p_now);
    /// Whether every node can tell the stream's origin from the store.
    [[nodiscard]] bool is_durable(const std::string& p_attempt) const;
    /// The origin of a stream that this node knows.
    [[nodiscard]] std::optional<known_origin>
    find(const std::string& p_attempt) const;
    /// Forgets streams that can't be taken up any more.
    void expire(time_point p_now);

    // What was listed from the store.

    /// Takes over what the store held at some time after `p_asked_at`.
    void learn(const stream_origins& p_stored, time_point p_asked_at,
               time_point p_now);
    /// Asks for what the store holds now.
    void request_list() { list_requested_ = true; }
    /// Whether a list was requested since the last call.
    [[nodiscard]] bool take_list_request();
    /// Whether what the store held after that time was learnt.
    [[nodiscard]] bool is_listed_since(time_point p_time) const
    {
        return listed_at_ && *listed_at_ >= p_time;
    }
    /// Whether the last list names each stream that has a record.
    [[nodiscard]] bool is_list_whole() const { return list_is_whole_; }
    /// The service's version for streams without a record, as last learnt;
    /// nullopt if there is none or nothing is known.
    [[nodiscard]] std::optional<std::string>
    main_version_of(const service_name& p_service) const;
    /// Whether this node knows a service's main version for certain: none has
    /// replaced it unseen while other versions had most of the servers.
    [[nodiscard]] bool
    is_main_version_certain(const service_name& p_service) const;
    [[nodiscard]] const std::map<service_name, main_version>&
    main_versions() const
    {
        return main_versions_;
    }
    /// Number of servers that aren't leaving, by service and version.
    using version_counts = std::map<std::string, std::size_t>;
    [[nodiscard]] const std::map<service_name, version_counts>&
    server_counts() const
    {
        return server_counts_;
    }

    // What this node writes to the store.

    [[nodiscard]] bool has_unsaved() const { return last_record_ > saved_; }
    /// Streams with a record that may still be taken up.
    [[nodiscard]] std::map<std::string, stream_origin> records() const;
    /// Number of the last record; pass it to `set_saved` once a list of all
    /// records up to it is in the store.
    [[nodiscard]] std::uint64_t last_record() const { return last_record_; }
    void set_saved(std::uint64_t p_record);
    /// Whether the store's last response to a write of records is missing, so
    /// that it isn't worth while to wait for the next.
    void set_store_failing(bool p_failing) { store_failing_ = p_failing; }
    [[nodiscard]] bool is_store_failing() const { return store_failing_; }
    /// The store has lost what was saved.
    void set_unsaved() { saved_ = 0; }

private:
    struct known_stream
    {
        known_origin known_;
        time_point expires_at_{};
        std::uint64_t record_ = 0; ///< 0 if it needs none here.
    };
    /// A main version with fewer than half of its service's servers, as these
    /// are known now. It is given up soon, and may be named again later.
    struct minority
    {
        bool is_now_ = false;
        time_point last_seen_{}; ///< When it was one, or ceased to be.
    };
    /// Whether nodes take streams without a record for ones of this origin.
    [[nodiscard]] bool is_main(const stream_origin& p_origin) const;
    /// Whether the version has fewer than half of the service's servers.
    [[nodiscard]] bool is_minority(const service_name& p_service,
                                   const std::string& p_version) const;

    std::unordered_map<std::string, known_stream> streams_; ///< By attempt.
    std::map<service_name, main_version> main_versions_;
    std::map<service_name, version_counts> server_counts_;
    std::map<service_name, minority> minorities_; ///< Among main versions.
    std::optional<time_point> listed_at_; ///< When the last list was asked for.
    std::uint64_t last_record_ = 0;
    std::uint64_t saved_ = 0;
    bool list_requested_ = false;
    bool list_is_whole_ = true;
    bool store_failing_ = false;
};

} // namespace peridotspar::routing
