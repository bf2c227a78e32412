#pragma once

#include "config/document.hpp"
#include "policy/catalogue.hpp"
#include "transport/http_client.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotspar
{

/// One revision of the configuration, with indexes for lookups. Immutable; a
/// new revision gets a new snapshot.
struct snapshot
{
    config_revision revision_;
    std::string text_; ///< The stored text: the document and its envelope.
    document document_;
    std::shared_ptr<const policy::catalogue> catalogue_;
    std::vector<endpoint> endpoints_; ///< By backend_index.
    /// Client accounts by the SHA-256 of their API key.
    std::unordered_map<std::string, account_index> accounts_by_key_hash_;
    std::unordered_map<std::string, class_index> classes_;
    std::unordered_map<std::string, pool_index> models_;
    std::unordered_map<std::string, pool_index> services_;
    /// Names of operators by the SHA-256 of their key.
    std::unordered_map<std::string, std::string> operators_by_key_hash_;
    // By wire_hash() of the name.
    std::unordered_map<std::int64_t, backend_index> backends_by_hash_;
    std::unordered_map<std::int64_t, pool_index> pools_by_hash_;
    std::unordered_map<std::int64_t, account_index> accounts_by_hash_;

    /// Returns the backend server with this name, or null.
    [[nodiscard]] const backend_spec* backend(const std::string& p_name) const;
};

/// Hash that stands for a name in the messages between nodes.
[[nodiscard]] std::int64_t wire_hash(const std::string& p_name);

/// Builds snapshots whose indexes stay valid across revisions: an item that a
/// revision removes keeps its index. A removed backend server gets no requests.
/// Not thread-safe.
class snapshot_builder
{
public:
    [[nodiscard]] std::shared_ptr<const snapshot>
    build(config_revision p_revision, std::string p_text, document p_document);

private:
    policy::catalogue catalogue_; ///< Items of all revisions so far.
};

} // namespace peridotspar
