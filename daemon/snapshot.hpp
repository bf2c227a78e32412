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

/// The configuration in force, with what looks things up in it. It never
/// changes; a new revision makes a new one.
struct snapshot
{
    config_revision revision_;
    std::string text_; ///< The document as stored.
    document document_;
    std::shared_ptr<const policy::catalogue> catalogue_;
    std::vector<endpoint> endpoints_; ///< By backend server.
    std::unordered_map<std::string, account_index> accounts_by_key_hash_;
    std::unordered_map<std::string, class_index> classes_;
    std::unordered_map<std::string, pool_index> models_;
    std::unordered_map<std::string, pool_index> services_;
    std::unordered_map<std::string, std::string> operators_by_key_hash_;
    std::unordered_map<std::int64_t, backend_index> backends_by_hash_;
    std::unordered_map<std::int64_t, pool_index> pools_by_hash_;
    std::unordered_map<std::int64_t, account_index> accounts_by_hash_;

    [[nodiscard]] const backend_spec* backend(const std::string& p_name) const;
};

/// A name as it travels between nodes.
[[nodiscard]] std::int64_t wire_hash(const std::string& p_name);

/// Makes snapshots whose indexes stay valid from one revision to the next:
/// what a revision drops keeps its index, but takes no work.
class snapshot_builder
{
public:
    [[nodiscard]] std::shared_ptr<const snapshot>
    build(config_revision p_revision, std::string p_text, document p_document);

private:
    policy::catalogue catalogue_;
};

} // namespace peridotspar
