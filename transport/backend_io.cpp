#include "transport/backend_io.hpp"

#include "core/log.hpp"

#include "http/message.hpp"
#include "transport/sse_splitter.hpp"

#include <atomic>
#include <unordered_map>
#include <vector>

#include <curl/curl.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace peridotspar
{

namespace
{

constexpr std::size_t command_capacity = 8192;
constexpr long max_idle_connections = 1024;
constexpr long connect_timeout_ms = 1000;
constexpr int idle_poll_ms = 100;
/// Used while a sink has no room, because its reader doesn't wake the I/O
/// thread.
constexpr int paused_poll_ms = 2;
/// A longer response is cut, as a server in trouble may send bytes without end.
constexpr std::size_t max_response_bytes = 16U << 20U;
/// What a header callback returns to fail its transfer.
constexpr std::size_t header_error = 0;
constexpr int http_too_many_requests = 429;
constexpr int http_service_unavailable = 503;

/// An attempt in progress.
struct transfer
{
    backend_call call_;
    CURL* handle_ = nullptr;
    curl_slist* headers_ = nullptr;
    sse_splitter splitter_;
    /// The lines and events of a response that isn't an engine's stream.
    http::event_stream_scanner scanner_;
    std::string pending_; ///< Received, but not yet taken by the sink.
    std::uint32_t pending_events_ = 0;
    std::size_t received_bytes_ = 0;
    bool saw_done_marker_ = false;
    bool head_delivered_ = false;
    bool paused_ = false;
    /// The whole head was received. libcurl takes a head that breaks off for
    /// the head of an empty response.
    bool head_complete_ = false;
    curl_socket_t socket_ = CURL_SOCKET_BAD;
    /// The server hadn't acknowledged all of the request, or had reset the
    /// connection, when this was closed.
    bool closed_early_ = false;

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

    [[nodiscard]] bool is_event_stream() const
    {
        return call_.event_stream_ && status() == 200;
    }

    /// Passes status and content type to the sink, once and only if the
    /// response isn't an event stream.
    void deliver_head()
    {
        if (head_delivered_ || is_event_stream())
        {
            return;
        }
        head_delivered_ = true;
        call_.sink_->on_head(call_.attempt_, static_cast<int>(status()),
                             content_type());
    }

    [[nodiscard]] std::string content_type() const
    {
        const char* type = nullptr;
        curl_easy_getinfo(handle_, CURLINFO_CONTENT_TYPE, &type);
        return type == nullptr ? "application/octet-stream" : type;
    }

    /// Whether the server certainly has the whole request, as far as libcurl
    /// and, for a connection that was closed, the socket knew.
    [[nodiscard]] bool is_request_read() const
    {
        curl_off_t uploaded = 0;
        curl_easy_getinfo(handle_, CURLINFO_SIZE_UPLOAD_T, &uploaded);
        return uploaded >=
                   static_cast<curl_off_t>(call_.request_.body_.size()) &&
               !closed_early_;
    }

    /// Whether the response has neither a length nor chunks.
    [[nodiscard]] bool ends_with_connection() const
    {
        curl_header* header = nullptr;
        curl_off_t length = -1;
        curl_easy_getinfo(handle_, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
        return length < 0 &&
               curl_easy_header(handle_, "Transfer-Encoding", 0, CURLH_HEADER,
                                -1, &header) != CURLHE_OK;
    }

    /// Whether all of the response was received, as far as its end shows that.
    [[nodiscard]] bool is_complete() const
    {
        // A reset that a failed write was told of looks like an end to the read
        // after it.
        if (!head_complete_ || (ends_with_connection() && !is_request_read()))
        {
            return false;
        }
        if (is_event_stream())
        {
            return saw_done_marker_;
        }
        const bool only_events_show_end =
            ends_with_connection() &&
            http::is_event_stream_type(content_type());
        return !only_events_show_end ||
               (scanner_.events() > 0 && !scanner_.is_broken_off());
    }

    /// Offers the pending bytes to the sink; false if it has no room.
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

    [[nodiscard]] bool is_too_long() const
    {
        return received_bytes_ > max_response_bytes || splitter_.is_too_long();
    }

    /// Adds received bytes to the pending ones; of an event stream, only whole
    /// events.
    void append(std::string_view p_bytes)
    {
        received_bytes_ += p_bytes.size();
        if (!is_event_stream())
        {
            pending_ += p_bytes;
            scanner_.skip(p_bytes);
            return;
        }
        const auto taken = splitter_.feed(p_bytes);
        pending_ += taken.bytes_;
        pending_events_ += taken.events_;
        saw_done_marker_ = saw_done_marker_ || taken.done_;
    }
};

/// Notices the empty line that ends a head. Heads of interim responses come
/// first. Fails the transfer if the status isn't one of a response.
std::size_t on_header(char* p_data, std::size_t p_size, std::size_t p_count,
                      void* p_transfer)
{
    auto* self = static_cast<transfer*>(p_transfer);
    const std::string_view line(p_data, p_size * p_count);
    self->head_complete_ = line == "\r\n" || line == "\n";
    curl_easy_getinfo(self->handle_, CURLINFO_ACTIVESOCKET, &self->socket_);
    const auto status = static_cast<int>(self->status());
    if (self->head_complete_ && !http::is_response_status(status))
    {
        log_event(log_level::warning, "answer.invalid_status")
            .with("attempt", self->call_.attempt_.value())
            .with("status", status);
        self->head_complete_ = false;
        return header_error;
    }
    return line.size();
}

std::size_t on_write(char* p_data, std::size_t p_size, std::size_t p_count,
                     void* p_transfer)
{
    auto* self = static_cast<transfer*>(p_transfer);
    self->deliver_head();
    if (!self->flush())
    {
        self->paused_ = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    self->append({p_data, p_size * p_count});
    if (self->is_too_long())
    {
        log_event(log_level::warning, "answer.too_long")
            .with("attempt", self->call_.attempt_.value())
            .with("bytes", self->received_bytes_);
        return CURL_WRITEFUNC_ERROR;
    }
    // If the sink has no room, the bytes stay in `pending_`, and the next call
    // pauses the transfer.
    self->flush();
    return p_size * p_count;
}

/// Whether the peer hasn't acknowledged all bytes written to a socket, or has
/// reset its connection.
bool is_cut_off(curl_socket_t p_socket)
{
    int unacknowledged = 0;
    int error = 0;
    socklen_t size = sizeof(error);
    const bool has_unacknowledged =
        ::ioctl(p_socket, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
    const bool has_error =
        ::getsockopt(p_socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
        error != 0;
    return has_unacknowledged || has_error;
}

/// Whether certainly no byte of the request was sent.
bool nothing_sent(CURL* p_handle, CURLcode p_code)
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

attempt_end::kind classify_end(const transfer& p_transfer, CURLcode p_code)
{
    using kind = attempt_end::kind;
    if (p_code == CURLE_OK)
    {
        const long status = p_transfer.status();
        const bool engine = p_transfer.call_.event_stream_;
        if (engine && (status == http_too_many_requests ||
                       status == http_service_unavailable))
        {
            return kind::refused;
        }
        return p_transfer.is_complete() ? kind::completed : kind::broken;
    }
    if (nothing_sent(p_transfer.handle_, p_code))
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
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle_connections);
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
            process_commands();
            int running = 0;
            curl_multi_perform(multi_, &running);
            finish_transfers();
            const bool paused = resume_paused();
            curl_multi_poll(multi_, nullptr, 0,
                            paused ? paused_poll_ms : idle_poll_ms, nullptr);
        }
    }

    void process_commands()
    {
        while (auto next = commands_.pop(duration(0)))
        {
            if (auto* started = std::get_if<backend_call>(&*next))
            {
                start(std::move(*started));
            }
            else
            {
                cancel_transfer(std::get<attempt_id>(*next));
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

    /// libcurl closes a connection before it reports the end of its transfer.
    static int close_socket(void* p_worker, curl_socket_t p_socket)
    {
        auto* self = static_cast<worker*>(p_worker);
        for (auto& [id, entry] : self->transfers_)
        {
            if (entry->socket_ == p_socket && is_cut_off(p_socket))
            {
                entry->closed_early_ = true;
            }
        }
        return ::close(p_socket);
    }

    void prepare(transfer& r_transfer)
    {
        const auto& request = r_transfer.call_.request_;
        CURL* handle = r_transfer.handle_;
        const std::string url =
            "http://" + r_transfer.call_.server_.address_ + ":" +
            std::to_string(r_transfer.call_.server_.port_) + request.target_;
        for (const auto& [name, value] : request.headers_)
        {
            r_transfer.headers_ = curl_slist_append(
                r_transfer.headers_, (name + ": " + value).c_str());
        }
        // An empty "Expect" header keeps libcurl from waiting for a "100
        // Continue" response before it sends a larger body.
        r_transfer.headers_ = curl_slist_append(r_transfer.headers_, "Expect:");
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST,
                         request.method_.c_str());
        if (!request.body_.empty() || request.method_ == "POST")
        {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(request.body_.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body_.c_str());
        }
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, r_transfer.headers_);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_write);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &r_transfer);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &on_header);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &r_transfer);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &close_socket);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
        curl_easy_setopt(handle, CURLOPT_PRIVATE, &r_transfer);
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(request.timeout_.count()));
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        if (!r_transfer.call_.may_resend_)
        {
            // If a reused connection turns out to be closed, libcurl sends the
            // request again on another one. A new connection prevents this.
            curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
        }
    }

    void cancel_transfer(attempt_id p_attempt)
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
        int remaining = 0;
        while (CURLMsg* message = curl_multi_info_read(multi_, &remaining))
        {
            if (message->msg != CURLMSG_DONE)
            {
                continue;
            }
            transfer* entry = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &entry);
            const CURLcode code = message->data.result;
            curl_multi_remove_handle(multi_, entry->handle_);
            finished_.emplace_back(entry->call_.attempt_, code);
        }
        std::erase_if(
            finished_, [this](const auto& p_finished)
            { return report_end(p_finished.first, p_finished.second); });
    }

    /// Calls the sink's on_end() once all bytes are delivered. Returns false if
    /// the sink has no room for them yet; call it again later.
    bool report_end(attempt_id p_attempt, CURLcode p_code)
    {
        const auto found = transfers_.find(p_attempt);
        if (found == transfers_.end())
        {
            return true;
        }
        transfer& entry = *found->second;
        if (p_code == CURLE_OK && entry.head_complete_)
        {
            entry.deliver_head();
        }
        if (!entry.flush())
        {
            return false;
        }
        const attempt_end end{classify_end(entry, p_code),
                              static_cast<int>(entry.status()),
                              curl_easy_strerror(p_code)};
        const auto sink = entry.call_.sink_;
        transfers_.erase(found);
        sink->on_end(p_attempt, end);
        return true;
    }

    /// Offers pending bytes again and continues paused transfers. Returns
    /// whether the sink of any transfer still has no room.
    bool resume_paused()
    {
        bool waiting = !finished_.empty();
        for (auto& [id, entry] : transfers_)
        {
            const bool flushed = entry->flush();
            if (flushed && entry->paused_)
            {
                entry->paused_ = false;
                curl_easy_pause(entry->handle_, CURLPAUSE_CONT);
            }
            waiting = waiting || !flushed;
        }
        return waiting;
    }

    bounded_queue<command>& commands_;
    CURLM* multi_ = nullptr;
    std::unordered_map<attempt_id, std::unique_ptr<transfer>> transfers_;
    /// Transfers that ended, until their end is reported.
    std::vector<std::pair<attempt_id, CURLcode>> finished_;
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
    const bool queued = commands_.try_push(std::move(p_call));
    curl_multi_wakeup(worker_->multi_);
    return queued;
}

bool backend_io::cancel(attempt_id p_attempt)
{
    const bool queued = commands_.try_push(p_attempt);
    curl_multi_wakeup(worker_->multi_);
    return queued;
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
