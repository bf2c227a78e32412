#include "daemon/snapshot.hpp"

#include "policy/hashing.hpp"

#include <algorithm>

namespace peridotspar
{

namespace
{

/// Returns the index of the item with this name; appends a new item if there is
/// none.
template <class Item>
std::uint32_t find_or_add(std::vector<Item>& r_items, const std::string& p_name)
{
    const auto found = std::find_if(r_items.begin(), r_items.end(),
                                    [&](const Item& p_item)
                                    { return p_item.name_ == p_name; });
    if (found != r_items.end())
    {
        return static_cast<std::uint32_t>(found - r_items.begin());
    }
    Item item;
    item.name_ = p_name;
    r_items.push_back(item);
    return static_cast<std::uint32_t>(r_items.size() - 1);
}

/// Name of the pool of a model or a service. The prefix keeps them apart, as a
/// model and a service may have the same name.
std::string qualified_pool_name(const std::string& p_name, bool p_are_models)
{
    return (p_are_models ? "model/" : "service/") + p_name;
}

void add_classes(const document& p_document, policy::catalogue& r_catalogue,
                 snapshot& r_snapshot)
{
    for (const auto& spec : p_document.classes_)
    {
        const auto index = find_or_add(r_catalogue.classes_, spec.name_);
        auto& entry = r_catalogue.classes_[index];
        entry.tier_ = spec.tier_;
        entry.first_token_target_ = spec.first_token_target_;
        entry.inter_token_target_ = spec.inter_token_target_;
        entry.max_wait_ = spec.max_wait_;
        r_snapshot.classes_[spec.name_] = class_index(index);
    }
}

void add_accounts(const document& p_document, policy::catalogue& r_catalogue,
                  snapshot& r_snapshot)
{
    for (const auto& spec : p_document.accounts_)
    {
        const auto index = find_or_add(r_catalogue.accounts_, spec.name_);
        auto& entry = r_catalogue.accounts_[index];
        entry.cap_tokens_per_s_ = spec.cap_tokens_per_s_;
        entry.cap_concurrent_ = spec.cap_concurrent_;
        entry.weight_ = spec.weight_;
        r_snapshot.accounts_by_key_hash_[spec.key_sha256_] =
            account_index(index);
        r_snapshot.accounts_by_hash_[wire_hash(spec.name_)] =
            account_index(index);
    }
}

void add_pools(const std::vector<std::string>& p_names, bool p_are_models,
               policy::catalogue& r_catalogue, snapshot& r_snapshot)
{
    for (const auto& name : p_names)
    {
        const std::string qualified_name =
            qualified_pool_name(name, p_are_models);
        const auto index = find_or_add(r_catalogue.pools_, qualified_name);
        r_catalogue.pools_[index].serves_model_ = p_are_models;
        auto& names = p_are_models ? r_snapshot.models_ : r_snapshot.services_;
        names[name] = pool_index(index);
        r_snapshot.pools_by_hash_[wire_hash(qualified_name)] =
            pool_index(index);
    }
}

void add_backends(const document& p_document, policy::catalogue& r_catalogue,
                  snapshot& r_snapshot)
{
    // Backend servers that the document doesn't list keep their index but get
    // no new requests.
    for (auto& backend : r_catalogue.backends_)
    {
        backend.accepts_new_ = false;
        backend.pools_.clear();
    }
    for (const auto& spec : p_document.backends_)
    {
        const auto index = find_or_add(r_catalogue.backends_, spec.name_);
        auto& entry = r_catalogue.backends_[index];
        entry.slots_ = spec.slots_;
        entry.version_ = spec.version_;
        entry.failure_domain_ = spec.failure_domain_;
        entry.accepts_new_ = !spec.draining_;
        const bool engine = spec.kind_ == backend_kind::engine;
        for (const auto& pool : spec.pools_)
        {
            entry.pools_.emplace_back(find_or_add(
                r_catalogue.pools_, qualified_pool_name(pool, engine)));
        }
        r_snapshot.endpoints_.resize(r_catalogue.backends_.size());
        r_snapshot.endpoints_[index] = {spec.address_, spec.port_};
        r_snapshot.backends_by_hash_[wire_hash(spec.name_)] =
            backend_index(index);
    }
    r_snapshot.endpoints_.resize(r_catalogue.backends_.size());
}

} // namespace

const backend_spec* snapshot::backend(const std::string& p_name) const
{
    const auto found = std::find_if(
        document_.backends_.begin(), document_.backends_.end(),
        [&](const backend_spec& p_spec) { return p_spec.name_ == p_name; });
    return found == document_.backends_.end() ? nullptr : &*found;
}

std::int64_t wire_hash(const std::string& p_name)
{
    return static_cast<std::int64_t>(policy::hash_text(p_name));
}

std::shared_ptr<const snapshot>
snapshot_builder::build(config_revision p_revision, std::string p_text,
                        document p_document)
{
    auto result = std::make_shared<snapshot>();
    result->revision_ = p_revision;
    result->text_ = std::move(p_text);
    add_classes(p_document, catalogue_, *result);
    add_accounts(p_document, catalogue_, *result);
    add_pools(p_document.models_, true, catalogue_, *result);
    add_pools(p_document.services_, false, catalogue_, *result);
    add_backends(p_document, catalogue_, *result);
    for (const auto& spec : p_document.operators_)
    {
        result->operators_by_key_hash_[spec.key_sha256_] = spec.name_;
    }
    result->document_ = std::move(p_document);
    result->catalogue_ = std::make_shared<policy::catalogue>(catalogue_);
    return result;
}

} // namespace peridotspar
