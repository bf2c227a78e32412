#include "transport/backend_io.hpp"

#include "transport/sse_splitter.hpp"

#include <atomic>
#include <unordered_map>
#include <vector>

#include <curl/curl.h>

namespace peridotspar
{

namespace
{

constexpr std::size_t command_capacity = 8192;
constexpr long idle_connections = 1024;
constexpr long connect_timeout_ms = 1000;
constexpr int idle_poll_ms = 100;
constexpr int paused_poll_ms = 2;
constexpr int http_too_many = 429;
constexpr int http_unavailable = 503;

/// One attempt on its way.
struct transfer
{
    backend_call call_;
    CURL* handle_ = nullptr;
    curl_slist* headers_ = nullptr;
    sse_splitter splitter_;
    std::string pending_;
    std::uint32_t pending_events_ = 0;
    bool saw_end_mark_ = false;
    bool head_sent_ = false;
    bool paused_ = false;

    ~transfer()
    {
        curl_slist_free_all(headers_);
        curl_easy_cleanup(handle_);
    }

    [[nodiscard]] long status() const
    {
        long code = 0;
        curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &code);
        return code;
    }

    [[nodiscard]] bool streams() const
    {
        return call_.event_stream_ && status() == 200;
    }

    void send_head()
    {
        if (head_sent_ || streams())
        {
            return;
        }
        head_sent_ = true;
        const char* type = nullptr;
        curl_easy_getinfo(handle_, CURLINFO_CONTENT_TYPE, &type);
        call_.sink_->on_head(call_.attempt_, static_cast<int>(status()),
                             type == nullptr ? "application/octet-stream"
                                             : type);
    }

    /// Offers what is pending; false if the sink has no room.
    bool flush()
    {
        if (pending_.empty())
        {
            return true;
        }
        if (!call_.sink_->on_bytes(call_.attempt_, pending_, pending_events_))
        {
            return false;
        }
        pending_.clear();
        pending_events_ = 0;
        return true;
    }

    void take(std::string_view p_bytes)
    {
        if (!streams())
        {
            pending_ += p_bytes;
            return;
        }
        const auto taken = splitter_.feed(p_bytes);
        pending_ += taken.bytes_;
        pending_events_ += taken.events_;
        saw_end_mark_ = saw_end_mark_ || taken.done_;
    }
};

std::size_t on_write(char* p_data, std::size_t p_size, std::size_t p_count,
                     void* p_transfer)
{
    auto* self = static_cast<transfer*>(p_transfer);
    self->send_head();
    if (!self->flush())
    {
        self->paused_ = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    self->take({p_data, p_size * p_count});
    // Bytes without room wait in `pending_`; the next write pauses.
    self->flush();
    return p_size * p_count;
}

bool nothing_was_sent(CURL* p_handle, CURLcode p_code)
{
    if (p_code == CURLE_COULDNT_CONNECT)
    {
        return true;
    }
    long sent = 0;
    curl_off_t uploaded = 0;
    curl_off_t connected = 0;
    curl_easy_getinfo(p_handle, CURLINFO_REQUEST_SIZE, &sent);
    curl_easy_getinfo(p_handle, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    curl_easy_getinfo(p_handle, CURLINFO_PRETRANSFER_TIME_T, &connected);
    return sent == 0 && uploaded == 0 && connected == 0;
}

attempt_end::kind kind_of(const transfer& p_transfer, CURLcode p_code)
{
    using kind = attempt_end::kind;
    if (p_code == CURLE_OK)
    {
        const long status = p_transfer.status();
        const bool engine = p_transfer.call_.event_stream_;
        if (engine && (status == http_too_many || status == http_unavailable))
        {
            return kind::refused;
        }
        const bool whole = !p_transfer.streams() || p_transfer.saw_end_mark_;
        return whole ? kind::completed : kind::broken;
    }
    if (nothing_was_sent(p_transfer.handle_, p_code))
    {
        return kind::unsent;
    }
    return p_code == CURLE_OPERATION_TIMEDOUT ? kind::timed_out : kind::broken;
}

} // namespace

struct backend_io::worker
{
    explicit worker(bounded_queue<command>& p_commands) : commands_(p_commands)
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, idle_connections);
    }

    ~worker()
    {
        for (auto& [id, entry] : transfers_)
        {
            curl_multi_remove_handle(multi_, entry->handle_);
        }
        transfers_.clear();
        curl_multi_cleanup(multi_);
    }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    void run()
    {
        while (!stopping_)
        {
            take_commands();
            int running = 0;
            curl_multi_perform(multi_, &running);
            finish_transfers();
            const bool paused = resume_paused();
            curl_multi_poll(multi_, nullptr, 0,
                            paused ? paused_poll_ms : idle_poll_ms, nullptr);
        }
    }

    void take_commands()
    {
        while (auto next = commands_.pop(duration(0)))
        {
            if (auto* started = std::get_if<backend_call>(&*next))
            {
                start(std::move(*started));
            }
            else
            {
                abandon(std::get<attempt_id>(*next));
            }
        }
    }

    void start(backend_call p_call)
    {
        auto entry = std::make_unique<transfer>();
        entry->call_ = std::move(p_call);
        entry->handle_ = curl_easy_init();
        prepare(*entry);
        curl_multi_add_handle(multi_, entry->handle_);
        transfers_.emplace(entry->call_.attempt_, std::move(entry));
    }

    static void prepare(transfer& r_entry)
    {
        const auto& request = r_entry.call_.call_;
        CURL* handle = r_entry.handle_;
        const std::string url =
            "http://" + r_entry.call_.server_.address_ + ":" +
            std::to_string(r_entry.call_.server_.port_) + request.target_;
        for (const auto& [name, value] : request.headers_)
        {
            r_entry.headers_ = curl_slist_append(r_entry.headers_,
                                                 (name + ": " + value).c_str());
        }
        // Without this curl waits for a "100 Continue" before larger bodies.
        r_entry.headers_ = curl_slist_append(r_entry.headers_, "Expect:");
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST,
                         request.method_.c_str());
        if (!request.body_.empty() || request.method_ == "POST")
        {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(request.body_.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body_.c_str());
        }
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, r_entry.headers_);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_write);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &r_entry);
        curl_easy_setopt(handle, CURLOPT_PRIVATE, &r_entry);
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(request.timeout_.count()));
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        if (!r_entry.call_.may_repeat_)
        {
            // On a reused connection that turns out dead, curl sends the
            // request again by itself; that must not happen to these.
            curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
        }
    }

    void abandon(attempt_id p_attempt)
    {
        const auto found = transfers_.find(p_attempt);
        if (found == transfers_.end())
        {
            return;
        }
        curl_multi_remove_handle(multi_, found->second->handle_);
        transfers_.erase(found);
    }

    void finish_transfers()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi_, &left))
        {
            if (message->msg != CURLMSG_DONE)
            {
                continue;
            }
            transfer* entry = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &entry);
            const CURLcode code = message->data.result;
            curl_multi_remove_handle(multi_, entry->handle_);
            ended_.emplace_back(entry->call_.attempt_, code);
        }
        std::erase_if(ended_, [this](const auto& p_ended)
                      { return report_end(p_ended.first, p_ended.second); });
    }

    /// Reports an end once all bytes are delivered; false to try again.
    bool report_end(attempt_id p_attempt, CURLcode p_code)
    {
        const auto found = transfers_.find(p_attempt);
        if (found == transfers_.end())
        {
            return true;
        }
        transfer& entry = *found->second;
        if (p_code == CURLE_OK)
        {
            entry.send_head();
        }
        if (!entry.flush())
        {
            return false;
        }
        const attempt_end end{kind_of(entry, p_code),
                              static_cast<int>(entry.status()),
                              curl_easy_strerror(p_code)};
        const auto sink = entry.call_.sink_;
        transfers_.erase(found);
        sink->on_end(p_attempt, end);
        return true;
    }

    /// Whether some transfer still waits for its sink.
    bool resume_paused()
    {
        bool waiting = !ended_.empty();
        for (auto& [id, entry] : transfers_)
        {
            const bool room = entry->flush();
            if (room && entry->paused_)
            {
                entry->paused_ = false;
                curl_easy_pause(entry->handle_, CURLPAUSE_CONT);
            }
            waiting = waiting || !room;
        }
        return waiting;
    }

    bounded_queue<command>& commands_;
    CURLM* multi_ = nullptr;
    std::unordered_map<attempt_id, std::unique_ptr<transfer>> transfers_;
    std::vector<std::pair<attempt_id, CURLcode>> ended_;
    std::atomic<bool> stopping_{false};
};

backend_io::backend_io()
    : commands_(command_capacity),
      worker_(std::make_unique<worker>(commands_)),
      thread_([this] { worker_->run(); })
{
}

backend_io::~backend_io()
{
    stop();
}

bool backend_io::submit(backend_call p_call)
{
    const bool taken = commands_.try_push(std::move(p_call));
    curl_multi_wakeup(worker_->multi_);
    return taken;
}

bool backend_io::cancel(attempt_id p_attempt)
{
    const bool taken = commands_.try_push(p_attempt);
    curl_multi_wakeup(worker_->multi_);
    return taken;
}

void backend_io::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    worker_->stopping_ = true;
    curl_multi_wakeup(worker_->multi_);
    thread_.join();
}

} // namespace peridotspar
