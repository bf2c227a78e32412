#pragma once

#include "core/verdict.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

#include <tl/expected.hpp>

namespace peridotspar
{

/// An object of the platform with its version. Version 0 means that the object
/// does not exist.
struct stored_object
{
    std::uint64_t version_ = 0;
    std::string value_;
};

enum class store_error_kind : std::uint8_t
{
    unavailable,    ///< The call failed; nothing was changed.
    unknown_effect, ///< The write may have taken effect.
    conflict,       ///< The object has another version; nothing was changed.
    throttled,      ///< Rate limit of the store; nothing was changed.
};

struct store_error
{
    store_error_kind kind_ = store_error_kind::unavailable;
    std::uint64_t version_ = 0; ///< For a conflict, the current version.
};

template <class Value>
using store_result = tl::expected<Value, store_error>;

/// The part of the platform's object API that claims, leases and the
/// configuration use. Calls block and must be thread-safe. `put` writes only if
/// the object has the given version, and returns the new version.
template <class Store>
concept object_api = requires(Store& p_store, const std::string& p_name,
                              std::uint64_t p_version,
                              const std::string& p_value)
{
    {
        p_store.get(p_name)
        } -> std::same_as<store_result<stored_object>>;
    {
        p_store.put(p_name, p_version, p_value)
        } -> std::same_as<store_result<std::uint64_t>>;
};

} // namespace peridotspar
