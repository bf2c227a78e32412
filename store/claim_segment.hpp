#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspar
{

/// The HTTP response of a completed request, stored so that a resend under
/// the same idempotency key gets it again.
struct recorded_response
{
    int status_ = 0;
    std::string content_type_;
    std::string body_;
};

/// The stored state of one idempotency key.
struct claim_record
{
    /// Identifies the attempt that holds the claim.
    std::string nonce_;
    /// Hash of the request body; it differs if the key is reused for another
    /// request.
    std::string body_hash_;
    /// Empty until the request has completed.
    std::optional<recorded_response> response_;
};

/// Where the claim of a key is stored. The location depends only on the client
/// account and the key, so every node looks for the claim in the same object,
/// however late a resend comes.
struct claim_location
{
    std::string object_; ///< Name of the object in the store.
    std::string entry_;  ///< Key of the claim within the object.
};

/// Returns the location of the claim for a client account's key, or nothing if
/// the key is not a version-7 UUID.
[[nodiscard]] std::optional<claim_location>
locate_claim(std::string_view p_account, std::string_view p_key);

/// How long a claim is kept, in milliseconds. Requests with an older key are
/// rejected.
constexpr std::int64_t claim_retention_ms = 24LL * 3600 * 1000;

/// Returns the index of the newest time span whose claims have all exceeded
/// their retention at `p_unix_ms`.
[[nodiscard]] std::int64_t newest_expired_claim_span(std::int64_t p_unix_ms);
/// Returns the names of the objects that hold the claims of one time span.
[[nodiscard]] std::vector<std::string>
claim_objects_in_span(std::int64_t p_span);

/// The claims held by one object of the store. The version of the object orders
/// the changes to it, like a position in a log. Not thread-safe.
class claim_segment
{
public:
    /// Parses a stored segment; an empty text is an empty segment. Returns
    /// nothing if the text is not a JSON object.
    [[nodiscard]] static std::optional<claim_segment>
    parse(std::string_view p_text);
    /// Returns the segment as JSON, in the form that `parse` reads.
    [[nodiscard]] std::string serialize() const;

    /// Returns null if the entry has no claim. The pointer is valid until the
    /// claim is released.
    [[nodiscard]] const claim_record* find(const std::string& p_entry) const;
    /// Adds a claim. Returns false if the entry already has one.
    bool add(const std::string& p_entry, claim_record p_record);
    /// Stores the response of the completed request. Returns false if the claim
    /// is not held by `p_nonce`.
    bool finish(const std::string& p_entry, const std::string& p_nonce,
                recorded_response p_response);
    /// Removes a claim whose request was not sent to a backend server, so that
    /// another attempt can make it. Returns false if the claim is not held by
    /// `p_nonce`.
    bool release(const std::string& p_entry, const std::string& p_nonce);

private:
    std::map<std::string, claim_record> records_;
};

} // namespace peridotspar
