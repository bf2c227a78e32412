#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace peridotspar
{

/// Hash of a node's address; equal after a restart at the same address.
using node_key = strong_type<struct node_key_tag, std::uint64_t>;

[[nodiscard]] node_key key_of(const std::string& p_address);

/// Number of parts into which the engines are divided by their numbers. All
/// nodes must have the same.
constexpr std::uint32_t stripe_count = 16;

/// The load that requests put on an engine, in units that are the same for
/// each node, so that sums are exact.
struct engine_load
{
    std::uint32_t requests_ = 0;
    std::uint32_t kilotokens_ = 0;    ///< Expected use of engine memory.
    std::uint32_t prefill_units_ = 0; ///< Pending prefill, in 10 ms.
    std::uint32_t tight_streams_ = 0; ///< With the tightest pause target.

    engine_load& operator+=(const engine_load& p_added);
    friend bool operator==(const engine_load&, const engine_load&) = default;
};

/// Loads by engine number; engines without load are left out.
using engine_loads = std::map<std::uint32_t, engine_load>;

/// Orders what a node says of itself: a restart begins anew with a later start.
struct node_version
{
    std::int64_t started_ms_ = 0; ///< Unix time of the node's start.
    std::uint32_t sequence_ = 0;  ///< Since that start.

    // NOLINTBEGIN(modernize-use-nullptr): false positive of the linter.
    friend auto operator<=>(const node_version&, const node_version&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

/// Crashes attributed to requests with one fingerprint.
struct crash_suspect
{
    std::uint64_t fingerprint_ = 0;
    std::uint32_t crashes_ = 0;

    friend bool operator==(const crash_suspect&,
                           const crash_suspect&) = default;
};

/// What a node says of itself other than its load.
struct node_record
{
    std::string address_; ///< IP:PORT for messages between nodes.
    std::string caller_address_;
    failure_domain_id failure_domain_;
    node_version version_;
    bool ready_ = false;
    bool leaving_ = false;
    bool in_contact_ = false; ///< It follows the store and gets answers.
    std::int64_t config_version_ = 0;
    std::int64_t servers_revision_ = 0;
    std::vector<crash_suspect> suspects_;

    [[nodiscard]] node_key key() const { return key_of(address_); }
    friend bool operator==(const node_record&, const node_record&) = default;
};

/// Tells a receiver to forward the message to a part of its failure domain.
/// `parts_` is 0 if the message isn't to be forwarded.
struct forwarding
{
    std::uint32_t part_ = 0;
    std::uint32_t parts_ = 0;
};

/// The sender's whole load in one stripe, for the stripe's home.
struct load_report
{
    std::uint32_t stripe_ = 0;
    node_version record_version_;
    std::uint32_t sequence_ = 0; ///< Of the sender's reports since its start.
    engine_loads loads_;
};

/// The load of all live nodes in one stripe, by the stripe's home.
struct load_publication
{
    std::uint32_t stripe_ = 0;
    node_key home_;
    node_version version_; ///< Start of the home, number of publication.
    duration age_{};       ///< Of the oldest report in the sums.
    bool has_loads_ = false;
    engine_loads loads_;
    bool observes_ = false;        ///< `silent_` can be relied on.
    std::vector<node_key> silent_; ///< Nodes that the home doesn't hear.
    std::uint64_t records_hash_ = 0;
    forwarding forwarding_;
};

struct versioned_key
{
    node_key key_;
    node_version version_;
};

/// Records of nodes.
struct record_update
{
    std::vector<node_record> records_;
    std::vector<versioned_key> dead_;   ///< Dead at that version.
    std::vector<versioned_key> wanted_; ///< Newer ones that the sender lacks.
    bool answer_wanted_ = false;        ///< The receiver sends its own record.
    bool hearsay_ = false;       ///< Neither by the node itself nor spread.
    bool spread_wanted_ = false; ///< The receiver tells all its peers.
    forwarding forwarding_;
};

/// Asks for the records, with keys from `first_` to `last_`, that are newer
/// than the sender's.
struct record_request
{
    node_key first_;
    node_key last_;
    std::vector<versioned_key> held_;
};

/// Says that the sender doesn't know the receiver, or takes it for dead at this
/// version.
struct dead_notice
{
    node_version version_;
};

using exchange_message =
    std::variant<load_report, load_publication, record_update, record_request,
                 dead_notice>;

struct outgoing_message
{
    std::vector<std::string> to_; ///< Addresses.
    exchange_message message_;
};

} // namespace peridotspar
