#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotspar
{

/// A change of the server list: either the difference to an earlier revision or
/// the full list.
struct server_changes
{
    std::uint64_t revision_ = 0;
    std::map<std::string, std::string> documents_; ///< By server id.
    std::vector<std::string> removed_;             ///< Server ids.
    bool is_full_ = false; ///< Servers not in `documents_` are removed.
    /// No change since the earlier revision is missing: servers that came and
    /// went in between are among the removed ones. False if unknown.
    bool is_continuous_ = false;
    /// The earlier revision; nullopt if unknown.
    std::optional<std::uint64_t> since_ = std::nullopt;
};

/// The backend servers' documents as of one revision of the store, and when
/// each changed, so that peers can be given the difference to the revision that
/// they have. It orders all updates: what holds at a later revision replaces
/// what holds at an earlier one, whichever comes last. Revisions are those of
/// `revision_in_era()`. It has no clock and does no I/O. Not thread-safe.
class server_documents
{
public:
    /// Whether any list is known; until then every update is newer.
    [[nodiscard]] bool is_known() const { return known_; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// Whether an update that holds at this revision says more than what is
    /// known. An answer may be older than the news that overtook it.
    [[nodiscard]] bool is_newer(std::uint64_t p_revision) const
    {
        return !known_ || p_revision > revision_;
    }

    /// What is known of the time between the known revision and an update's.
    enum class history : std::uint8_t
    {
        events,   ///< The store's events, of which none is missing.
        complete, ///< A peer's difference, of which none is missing.
        skipped,  ///< Some changes may be missing, as in a full list.
    };
    /// Begins an update that holds at `p_revision`, to be followed by the
    /// changes up to it. It must not be older than what is known. After the
    /// first that isn't of `history::events` the list is known.
    void begin_update(std::uint64_t p_revision, history p_history);
    /// Records a server's document. Peers get it again even if it is known: one
    /// of them may lack it although it has the revision of its last change, as
    /// later pages of a list say more than its revision.
    void put(const std::string& p_id, const std::string& p_text);
    /// Records that a server's document was removed, or names no server any
    /// more. `p_is_server`: the id is known to be that of a server; else it is
    /// ignored unless its document was known.
    void remove(const std::string& p_id, bool p_is_server);

    /// What changed after a revision, or the full list if the recorded history
    /// doesn't tell.
    [[nodiscard]] server_changes changes_since(std::uint64_t p_revision) const;
    /// The ids of all documents.
    [[nodiscard]] std::vector<std::string> ids() const;
    [[nodiscard]] const std::string* find(const std::string& p_id) const;
    /// Equal for equal documents, whatever their order and history.
    [[nodiscard]] std::uint64_t content_hash() const { return content_hash_; }

private:
    struct document
    {
        std::string text_;
        std::uint64_t changed_at_revision_ = 0;
    };
    /// Revisions between two known ones. A server that came and went there
    /// isn't known, but a peer with a revision in between may have it.
    struct skipped_span
    {
        std::uint64_t after_ = 0;
        std::uint64_t before_ = 0;
    };
    void record_skipped(skipped_span p_span);
    [[nodiscard]] bool is_skipped(std::uint64_t p_revision) const;

    std::map<std::string, document> documents_; ///< By server id.
    /// Revision at which each removed server was removed, by server id. Goes
    /// back to `history_start_`.
    std::map<std::string, std::uint64_t> removal_revisions_;
    /// Changes before this revision aren't known one by one.
    std::uint64_t history_start_ = 0;
    std::deque<skipped_span> skipped_; ///< In the history, oldest first.
    std::uint64_t revision_ = 0;
    std::uint64_t content_hash_ = 0;
    bool known_ = false;
};

} // namespace peridotspar
