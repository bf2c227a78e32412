#include "daemon/server_documents.hpp"

#include "store/object_types.hpp"

#include <algorithm>

#include <xxhash.h>

namespace peridotspar
{

namespace
{

/// The history begins anew after the oldest of more skipped spans.
constexpr std::size_t max_skipped_spans = 32;

/// The hash of the whole list is the exclusive or of these, so that it can be
/// kept up to date with each change.
std::uint64_t hash_of(const std::string& p_id, const std::string& p_text)
{
    const std::uint64_t seed = XXH64(p_id.data(), p_id.size(), 0);
    return XXH64(p_text.data(), p_text.size(), seed);
}

} // namespace

void server_documents::begin_update(std::uint64_t p_revision, history p_history)
{
    // A peer may have had news of the era before that this node never had.
    if (!known_ || era_of(p_revision) != era_of(revision_))
    {
        history_start_ = p_revision;
        skipped_.clear();
    }
    else if (p_history == history::skipped && p_revision > revision_)
    {
        record_skipped({revision_, p_revision});
    }
    revision_ = p_revision;
    known_ = known_ || p_history != history::events;
}

void server_documents::record_skipped(skipped_span p_span)
{
    skipped_.push_back(p_span);
    if (skipped_.size() > max_skipped_spans)
    {
        history_start_ = skipped_.front().before_;
        skipped_.pop_front();
    }
}

bool server_documents::is_skipped(std::uint64_t p_revision) const
{
    return std::any_of(skipped_.begin(), skipped_.end(),
                       [p_revision](const skipped_span& p_span) {
                           return p_revision > p_span.after_ &&
                                  p_revision < p_span.before_;
                       });
}

void server_documents::put(const std::string& p_id, const std::string& p_text)
{
    const auto [found, is_new] = documents_.try_emplace(p_id);
    document& known = found->second;
    if (!is_new)
    {
        content_hash_ ^= hash_of(p_id, known.text_);
    }
    content_hash_ ^= hash_of(p_id, p_text);
    known = {p_text, revision_};
    removal_revisions_.erase(p_id);
}

void server_documents::remove(const std::string& p_id, bool p_is_server)
{
    const auto found = documents_.find(p_id);
    if (found != documents_.end())
    {
        content_hash_ ^= hash_of(p_id, found->second.text_);
        documents_.erase(found);
    }
    else if (!p_is_server)
    {
        return; // Entries of other writers would fill the memory.
    }
    removal_revisions_[p_id] = revision_;
}

server_changes server_documents::changes_since(std::uint64_t p_revision) const
{
    server_changes changes;
    changes.revision_ = revision_;
    changes.since_ = p_revision;
    changes.is_full_ = p_revision < history_start_ || is_skipped(p_revision);
    changes.is_continuous_ =
        !changes.is_full_ &&
        (skipped_.empty() || skipped_.back().before_ <= p_revision);
    for (const auto& [id, known] : documents_)
    {
        if (changes.is_full_ || known.changed_at_revision_ > p_revision)
        {
            changes.documents_[id] = known.text_;
        }
    }
    for (const auto& [id, removal_revision] : removal_revisions_)
    {
        if (removal_revision > p_revision)
        {
            changes.removed_.push_back(id);
        }
    }
    return changes;
}

std::vector<std::string> server_documents::ids() const
{
    std::vector<std::string> ids;
    ids.reserve(documents_.size());
    for (const auto& [id, known] : documents_)
    {
        ids.push_back(id);
    }
    return ids;
}

const std::string* server_documents::find(const std::string& p_id) const
{
    const auto found = documents_.find(p_id);
    return found == documents_.end() ? nullptr : &found->second.text_;
}

} // namespace peridotspar
