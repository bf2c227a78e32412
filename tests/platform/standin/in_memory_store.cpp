#include "tests/platform/standin/in_memory_store.hpp"

namespace peridotspar::standin
{

namespace
{

constexpr std::size_t page_size = 500;
constexpr std::size_t max_page_bytes = 1'000'000;
constexpr std::size_t max_history = 10000;
constexpr int ok = 200;
constexpr int created = 201;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int gone = 410;

/// The member that holds the content of a raw entry in place of its spec.
constexpr const char* raw_member = "raw";

bool has_finalizers(const json& p_object)
{
    return !p_object["metadata"]["finalizers"].empty();
}

/// A value as it is sent.
std::string to_text(const json& p_value)
{
    if (!p_value.is_structured())
    {
        return p_value.dump();
    }
    std::string text;
    for (const auto& [key, value] : p_value.items())
    {
        text += text.empty() ? "" : ",";
        if (p_value.is_array())
        {
            text += to_text(value);
        }
        else if (key == raw_member)
        {
            text += "\"spec\":" + value.get<std::string>();
        }
        else
        {
            text += json(key).dump() + ":" + to_text(value);
        }
    }
    return p_value.is_array() ? "[" + text + "]" : "{" + text + "}";
}

} // namespace

std::string store_response::text() const
{
    return to_text(body_);
}

store_response in_memory_store::get(const std::string& p_kind,
                                    const std::string& p_name) const
{
    const std::lock_guard lock(mutex_);
    const auto kind = kinds_.find(p_kind);
    if (kind == kinds_.end() || !kind->second.contains(p_name))
    {
        return {not_found, json::object()};
    }
    return {ok, kind->second.at(p_name)};
}

store_response in_memory_store::list(const std::string& p_kind,
                                     const std::string& p_after) const
{
    const std::lock_guard lock(mutex_);
    json page{{"items", json::array()}, {"more", false}, {"at", revision_}};
    const auto kind = kinds_.find(p_kind);
    if (kind == kinds_.end())
    {
        return {ok, page};
    }
    std::size_t bytes = 0;
    for (auto each = kind->second.upper_bound(p_after);
         each != kind->second.end(); ++each)
    {
        if (page["items"].size() == page_size || bytes >= max_page_bytes)
        {
            page["more"] = true;
            break;
        }
        bytes += to_text(each->second).size();
        page["items"].push_back(each->second);
    }
    return {ok, page};
}

store_response in_memory_store::watch(const std::string& p_kind,
                                      std::uint64_t p_since,
                                      std::chrono::milliseconds p_wait) const
{
    std::unique_lock lock(mutex_);
    json events = json::array();
    const auto collect = [&]
    {
        for (const auto& each : history_)
        {
            if (each.revision_ > p_since && each.kind_ == p_kind)
            {
                events.push_back(
                    {{"object", each.object_}, {"removed", each.removed_}});
            }
        }
        return !events.empty() || p_since < history_start_ ||
               p_since > revision_;
    };
    changed_.wait_for(lock, p_wait, collect);
    if (p_since < history_start_ || p_since > revision_)
    {
        return {gone, json::object()};
    }
    return {ok, {{"events", events}, {"at", revision_}}};
}

store_response in_memory_store::create(const std::string& p_kind,
                                       const json& p_object)
{
    const std::lock_guard lock(mutex_);
    if (!p_object.is_object() || !p_object.contains("metadata") ||
        !p_object["metadata"].contains("name"))
    {
        return {bad_request, {{"error", "metadata.name is missing"}}};
    }
    const auto name = p_object["metadata"]["name"].get<std::string>();
    auto& kind = kinds_[p_kind];
    if (const auto known = kind.find(name); known != kind.end())
    {
        return {conflict, known->second};
    }
    json object{{"metadata", {{"name", name}, {"deleting", false}}}};
    object["metadata"]["finalizers"] =
        p_object["metadata"].value("finalizers", json::array());
    object["spec"] = p_object.value("spec", json::object());
    object["status"] = json::object();
    record_change(p_kind, object, false);
    object["metadata"]["created"] = object["metadata"]["rev"];
    return {created, kind.emplace(name, object).first->second};
}

store_response in_memory_store::put_raw(const std::string& p_kind,
                                        const std::string& p_name,
                                        const std::string& p_content)
{
    const std::lock_guard lock(mutex_);
    json object{{"metadata",
                 {{"name", p_name},
                  {"deleting", false},
                  {"finalizers", json::array()}}},
                {raw_member, p_content}};
    record_change(p_kind, object, false);
    kinds_[p_kind][p_name] = object;
    return {ok, json::object()};
}

json* in_memory_store::find(const std::string& p_kind,
                            const std::string& p_name, revision p_revision,
                            store_response& r_error)
{
    auto& kind = kinds_[p_kind];
    const auto known = kind.find(p_name);
    if (known == kind.end())
    {
        r_error = {not_found, json::object()};
        return nullptr;
    }
    if (p_revision && known->second["metadata"]["rev"] != *p_revision)
    {
        r_error = {conflict, known->second};
        return nullptr;
    }
    return &known->second;
}

store_response in_memory_store::replace(const std::string& p_kind,
                                        const std::string& p_name,
                                        revision p_revision,
                                        const json& p_object)
{
    const std::lock_guard lock(mutex_);
    store_response error;
    json* object = find(p_kind, p_name, p_revision, error);
    if (object == nullptr)
    {
        return error;
    }
    json next = *object;
    next["spec"] = p_object.value("spec", json::object());
    if (p_object.contains("metadata") &&
        p_object["metadata"].contains("finalizers"))
    {
        next["metadata"]["finalizers"] = p_object["metadata"]["finalizers"];
    }
    if (next == *object)
    {
        return {ok, *object}; // A write that changes nothing gets no revision.
    }
    *object = next;
    return commit_or_remove(p_kind, p_name, *object);
}

store_response in_memory_store::commit_or_remove(const std::string& p_kind,
                                                 const std::string& p_name,
                                                 json& r_object)
{
    const bool ends =
        r_object["metadata"]["deleting"] == true && !has_finalizers(r_object);
    record_change(p_kind, r_object, ends);
    const json now = r_object;
    if (ends)
    {
        kinds_[p_kind].erase(p_name);
    }
    return {ok, now};
}

store_response in_memory_store::set_status(const std::string& p_kind,
                                           const std::string& p_name,
                                           revision p_revision,
                                           const json& p_object)
{
    const std::lock_guard lock(mutex_);
    store_response error;
    json* object = find(p_kind, p_name, p_revision, error);
    if (object == nullptr)
    {
        return error;
    }
    const json status = p_object.value("status", json::object());
    if ((*object)["status"] != status)
    {
        (*object)["status"] = status;
        record_change(p_kind, *object, false);
    }
    return {ok, *object};
}

store_response in_memory_store::remove(const std::string& p_kind,
                                       const std::string& p_name,
                                       revision p_revision)
{
    const std::lock_guard lock(mutex_);
    store_response error;
    json* object = find(p_kind, p_name, p_revision, error);
    if (object == nullptr)
    {
        return error;
    }
    (*object)["metadata"]["deleting"] = true;
    return commit_or_remove(p_kind, p_name, *object);
}

void in_memory_store::record_change(const std::string& p_kind, json& r_object,
                                    bool p_removed)
{
    r_object["metadata"]["rev"] = ++revision_;
    history_.push_back({revision_, p_kind, r_object, p_removed});
    if (history_.size() > max_history)
    {
        history_start_ = history_.front().revision_;
        history_.pop_front();
    }
    changed_.notify_all();
}

void in_memory_store::forget_history()
{
    const std::lock_guard lock(mutex_);
    history_.clear();
    history_start_ = revision_;
    changed_.notify_all();
}

void in_memory_store::make_copy()
{
    const std::lock_guard lock(mutex_);
    copy_ = kinds_;
    copy_revision_ = revision_;
}

void in_memory_store::restore_copy()
{
    const std::lock_guard lock(mutex_);
    kinds_ = copy_;
    revision_ = copy_revision_;
    history_.clear();
    history_start_ = revision_;
    ++era_;
    changed_.notify_all();
}

std::uint64_t in_memory_store::era() const
{
    const std::lock_guard lock(mutex_);
    return era_;
}

} // namespace peridotspar::standin
