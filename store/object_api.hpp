#pragma once

#include "core/verdict.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

#include <tl/expected.hpp>

namespace peridotspar
{

/// An object of the platform with its version; version 0 means that there is
/// no such object.
struct stored_object
{
    std::uint64_t version_ = 0;
    std::string value_;
};

enum class store_error_kind : std::uint8_t
{
    unavailable,    ///< Nothing happened at the store.
    unknown_effect, ///< The write may have taken effect.
    conflict,       ///< The object has another version.
    throttled,      ///< The store's rate limit; nothing happened.
};

struct store_error
{
    store_error_kind kind_ = store_error_kind::unavailable;
    std::uint64_t version_ = 0; ///< The current version, for a conflict.
};

template <class Value>
using store_result = tl::expected<Value, store_error>;

/// The part of the platform's object API that claims, leases and the
/// configuration need. Calls block; they may come from any thread.
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
