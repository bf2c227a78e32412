#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspar
{

/// The answer that a completed request got.
struct recorded_response
{
    int status_ = 0;
    std::string content_type_;
    std::string body_;
};

/// One idempotency key in the store.
struct claim_record
{
    std::string nonce_;     ///< Of the attempt that holds the claim.
    std::string body_hash_; ///< Tells another request under the same key.
    std::optional<recorded_response> response_;
};

/// Where a key's claim is kept. The place follows from the key alone, so
/// every node looks for it in the same object, however late.
struct claim_location
{
    std::string object_;
    std::string entry_;
};

/// Finds the place of a key, which must be a version-7 UUID; empty if not.
[[nodiscard]] std::optional<claim_location>
locate_claim(std::string_view p_account, std::string_view p_key);

/// How long a key is remembered, in milliseconds. An older key is refused.
constexpr std::int64_t claim_retention_ms = 24LL * 3600 * 1000;

/// The youngest time span whose claims are past their retention.
[[nodiscard]] std::int64_t newest_expired_claim_span(std::int64_t p_unix_ms);
/// The objects that hold a time span's claims.
[[nodiscard]] std::vector<std::string>
claim_objects_in_span(std::int64_t p_span);

/// The claims of one object of the store. Its object's version orders the
/// changes to it, as a log position does.
class claim_segment
{
public:
    /// Reads a stored segment; an empty text is an empty segment.
    [[nodiscard]] static std::optional<claim_segment>
    parse(std::string_view p_text);
    [[nodiscard]] std::string serialize() const;

    [[nodiscard]] const claim_record* find(const std::string& p_entry) const;
    /// Adds a claim; false if the entry is taken already.
    bool add(const std::string& p_entry, claim_record p_record);
    /// Records the answer if `p_nonce` holds the claim.
    bool finish(const std::string& p_entry, const std::string& p_nonce,
                recorded_response p_response);
    /// Takes a claim out if `p_nonce` holds it and nothing was sent for it.
    bool release(const std::string& p_entry, const std::string& p_nonce);

private:
    std::map<std::string, claim_record> records_;
};

} // namespace peridotspar
