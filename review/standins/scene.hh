// A small deployment on loopback for the review's scripts: the store, the
// servers of a service, callers, and the project's own daemon as separate
// processes. All stand-ins follow the users' pages. Each case has a main
// program that includes this file.

#pragma once

#include "tests/platform/standin/in_memory_store.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace scene
{

using peridotspar::standin::in_memory_store;
using peridotspar::standin::json;
using peridotspar::standin::store_response;
using headers = std::map<std::string, std::string>; // Names in lower case.

// ---------------------------------------------------------------- time, record

inline const auto started = std::chrono::steady_clock::now();

/// Seconds since the script began.
inline double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         started)
        .count();
}

inline void sleep_s(double p_seconds)
{
    if (p_seconds > 0)
    {
        std::this_thread::sleep_for(std::chrono::duration<double>(p_seconds));
    }
}

inline std::ofstream record_file;
inline std::mutex record_mutex;

/// Writes one line to record.txt.
inline void record(const char* p_format, ...)
{
    char text[1024];
    va_list arguments;
    va_start(arguments, p_format);
    std::vsnprintf(text, sizeof(text), p_format, arguments);
    va_end(arguments);
    const std::lock_guard lock(record_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", now());
    record_file << time << text << "\n";
    record_file.flush();
}

[[noreturn]] inline void could_not_run(const std::string& p_why);

// ---------------------------------------------------------------- sockets

struct endpoint
{
    std::string ip_;
    int port_ = 0;
    [[nodiscard]] std::string text() const
    {
        return ip_ + ":" + std::to_string(port_);
    }
};

inline endpoint parse_endpoint(const std::string& p_text)
{
    const auto colon = p_text.rfind(':');
    return {p_text.substr(0, colon), std::atoi(p_text.c_str() + colon + 1)};
}

inline sockaddr_in to_address(const endpoint& p_endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(p_endpoint.port_));
    inet_pton(AF_INET, p_endpoint.ip_.c_str(), &address.sin_addr);
    return address;
}

/// A port that is free for TCP and UDP at a loopback address.
inline int free_port(const std::string& p_ip)
{
    static std::set<int> given;
    for (int attempt = 0; attempt < 200; ++attempt)
    {
        const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = to_address({p_ip, 0});
        socklen_t length = sizeof(address);
        const bool bound =
            bind(tcp, reinterpret_cast<sockaddr*>(&address), length) == 0;
        getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &length);
        const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const bool both =
            bound &&
            bind(udp, reinterpret_cast<sockaddr*>(&address), length) == 0;
        close(tcp);
        close(udp);
        const int port = ntohs(address.sin_port);
        if (both && given.insert(port).second)
        {
            return port;
        }
    }
    could_not_run("no free port at " + p_ip);
}

/// A connection with blocking reads and a time limit.
class stream
{
public:
    explicit stream(int p_socket = -1) : socket_(p_socket)
    {
        const int on = 1;
        setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~stream() { close(); }
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    bool connect(const endpoint& p_to, double p_seconds)
    {
        close();
        socket_ =
            socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int on = 1;
        setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto address = to_address(p_to);
        ::connect(socket_, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address));
        pollfd wait{socket_, POLLOUT, 0};
        int error = 1;
        socklen_t length = sizeof(error);
        if (poll(&wait, 1, static_cast<int>(p_seconds * 1000)) == 1)
        {
            getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &length);
        }
        if (error != 0)
        {
            close();
            return false;
        }
        fcntl(socket_, F_SETFL, fcntl(socket_, F_GETFL) & ~O_NONBLOCK);
        return true;
    }
    [[nodiscard]] bool is_open() const { return socket_ >= 0; }
    [[nodiscard]] int handle() const { return socket_; }
    bool write(const std::string& p_bytes)
    {
        std::size_t sent = 0;
        while (socket_ >= 0 && sent < p_bytes.size())
        {
            const auto count = send(socket_, p_bytes.data() + sent,
                                    p_bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
            {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return socket_ >= 0;
    }
    /// Reads more into `buffer_`. False at the end, at a reset, or once the
    /// time is over (`timed_out_`).
    bool more(double p_until)
    {
        timed_out_ = false;
        pollfd wait{socket_, POLLIN, 0};
        const double left = p_until - now();
        if (socket_ < 0 || left <= 0 ||
            poll(&wait, 1, static_cast<int>(left * 1000) + 1) != 1)
        {
            timed_out_ = socket_ >= 0;
            return false;
        }
        char bytes[16384];
        const auto count = recv(socket_, bytes, sizeof(bytes), 0);
        if (count <= 0)
        {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    [[nodiscard]] bool peer_closed() const
    {
        char byte = 0;
        const auto count = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 ||
               (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    void shut() const { shutdown(socket_, SHUT_RDWR); }
    void close()
    {
        if (socket_ >= 0)
        {
            ::close(socket_);
        }
        socket_ = -1;
        buffer_.clear();
    }

    std::string buffer_;
    bool timed_out_ = false;

private:
    int socket_;
};

/// A request or an answer.
struct message
{
    std::string first_; ///< Method and target, or the status line.
    headers headers_;
    std::string body_;
    [[nodiscard]] int status() const
    {
        return first_.size() > 12 ? std::atoi(first_.c_str() + 9) : 0;
    }
    [[nodiscard]] std::string header(const std::string& p_name) const
    {
        const auto found = headers_.find(p_name);
        return found == headers_.end() ? std::string() : found->second;
    }
};

inline bool read_head(stream& r_stream, double p_until, message& r_message)
{
    std::size_t end = 0;
    while ((end = r_stream.buffer_.find("\r\n\r\n")) == std::string::npos)
    {
        if (!r_stream.more(p_until))
        {
            return false;
        }
    }
    std::istringstream lines(r_stream.buffer_.substr(0, end));
    r_stream.buffer_.erase(0, end + 4);
    r_message = {};
    std::string line;
    std::getline(lines, line);
    r_message.first_ = line.substr(0, line.find('\r'));
    while (std::getline(lines, line))
    {
        const auto colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char& each : name)
        {
            each = static_cast<char>(std::tolower(each));
        }
        auto first = line.find_first_not_of(' ', colon + 1);
        auto last = line.find_last_not_of(" \r");
        r_message.headers_[name] = first == std::string::npos || last < first
                                       ? ""
                                       : line.substr(first, last - first + 1);
    }
    return true;
}

/// Reads a whole message with a length or in chunks. `p_on_chunk` gets each
/// part of a chunked body as it arrives.
inline bool read_message(
    stream& r_stream, double p_until, message& r_message,
    const std::function<void(const std::string&)>& p_on_chunk = nullptr)
{
    if (!read_head(r_stream, p_until, r_message))
    {
        return false;
    }
    auto& buffer = r_stream.buffer_;
    if (r_message.header("transfer-encoding") == "chunked")
    {
        for (;;)
        {
            std::size_t end = 0;
            while ((end = buffer.find("\r\n")) == std::string::npos)
            {
                if (!r_stream.more(p_until))
                {
                    return false;
                }
            }
            const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < end + 2 + size + 2)
            {
                if (!r_stream.more(p_until))
                {
                    return false;
                }
            }
            const std::string part = buffer.substr(end + 2, size);
            buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
            {
                return true;
            }
            r_message.body_ += part;
            if (p_on_chunk)
            {
                p_on_chunk(part);
            }
        }
    }
    const auto length = static_cast<std::size_t>(
        std::atol(r_message.header("content-length").c_str()));
    while (buffer.size() < length)
    {
        if (!r_stream.more(p_until))
        {
            return false;
        }
    }
    r_message.body_ = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

/// Accepts connections and serves each in a thread of its own.
class server
{
public:
    using handler = std::function<void(stream&)>;

    server(endpoint p_at, handler p_handler)
        : at_(std::move(p_at)), handler_(std::move(p_handler))
    {
        socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto address = to_address(at_);
        if (bind(socket_, reinterpret_cast<sockaddr*>(&address),
                 sizeof(address)) != 0 ||
            listen(socket_, 1024) != 0)
        {
            could_not_run("can't listen at " + at_.text());
        }
        std::thread([this] { accept_all(); }).detach();
    }
    [[nodiscard]] const endpoint& at() const { return at_; }
    /// Ends like a process: no new connections, all open ones are closed.
    void end()
    {
        ended_ = true;
        shutdown(socket_, SHUT_RDWR);
        close_all();
    }
    void close_all()
    {
        const std::lock_guard lock(mutex_);
        for (stream* each : open_)
        {
            each->shut();
        }
    }

private:
    void accept_all()
    {
        while (!ended_)
        {
            const int accepted =
                accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
            {
                if (!ended_)
                {
                    sleep_s(0.005);
                }
                continue;
            }
            std::thread(
                [this, accepted]
                {
                    stream connection(accepted);
                    {
                        const std::lock_guard lock(mutex_);
                        open_.insert(&connection);
                    }
                    handler_(connection);
                    const std::lock_guard lock(mutex_);
                    open_.erase(&connection);
                })
                .detach();
        }
        ::close(socket_);
    }

    endpoint at_;
    handler handler_;
    int socket_ = -1;
    std::atomic<bool> ended_{false};
    std::mutex mutex_;
    std::set<stream*> open_;
};

// ---------------------------------------------------------------- the store

/// The platform's store.
class store
{
public:
    explicit store(const endpoint& p_at)
        : server_(p_at, [this](stream& r_stream) { serve(r_stream); })
    {
    }
    [[nodiscard]] const endpoint& at() const { return server_.at(); }
    void put(const std::string& p_kind, const std::string& p_name,
             const json& p_spec)
    {
        const json object{{"metadata", {{"name", p_name}}}, {"spec", p_spec}};
        if (objects_.create(p_kind, object).status_ == 409)
        {
            objects_.replace(p_kind, p_name, std::nullopt, object);
        }
    }
    /// The store's acknowledgement of the removal: its time.
    double remove(const std::string& p_kind, const std::string& p_name)
    {
        objects_.remove(p_kind, p_name, std::nullopt);
        return now();
    }
    /// Cuts off the watches that are waiting, and does `p_change` with nothing
    /// in between, so that none of these watches tells of it.
    void cut_watches_with(const std::function<void()>& p_change)
    {
        const std::lock_guard lock(mutex_);
        for (stream* each : watching_)
        {
            each->shut();
        }
        p_change();
    }

private:
    void serve(stream& r_stream)
    {
        message call;
        while (read_message(r_stream, now() + 600, call))
        {
            const auto space = call.first_.find(' ');
            const std::string method = call.first_.substr(0, space);
            std::string target = call.first_.substr(
                space + 1, call.first_.rfind(' ') - space - 1);
            std::map<std::string, std::string> query;
            const auto mark = target.find('?');
            if (mark != std::string::npos)
            {
                std::istringstream all(target.substr(mark + 1));
                std::string each;
                while (std::getline(all, each, '&'))
                {
                    const auto equals = each.find('=');
                    query[each.substr(0, equals)] = each.substr(equals + 1);
                }
                target.resize(mark);
            }
            sleep_s(0.004);
            const auto answer = handle(method, target, query, call, r_stream);
            const std::string body = answer.body_.dump();
            if (!r_stream.write("HTTP/1.1 " + std::to_string(answer.status_) +
                                " X\r\nContent-Type: application/json\r\n"
                                "Content-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" +
                                body))
            {
                return;
            }
        }
    }

    store_response handle(const std::string& p_method,
                          const std::string& p_path,
                          const std::map<std::string, std::string>& p_query,
                          const message& p_call, stream& r_stream)
    {
        const std::string base = "/v1/objects/";
        if (!p_path.starts_with(base))
        {
            return {404, json::object()};
        }
        std::string kind = p_path.substr(base.size());
        std::string name;
        if (const auto slash = kind.find('/'); slash != std::string::npos)
        {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        const auto value = [&](const std::string& p_name)
        {
            const auto found = p_query.find(p_name);
            return found == p_query.end() ? std::string() : found->second;
        };
        json body = json::parse(p_call.body_, nullptr, false);
        if (!body.is_object())
        {
            body = json::object();
        }
        in_memory_store::revision revision;
        if (body.contains("metadata") && body["metadata"].contains("rev"))
        {
            revision = body["metadata"]["rev"].get<std::uint64_t>();
        }
        if (!value("rev").empty())
        {
            revision = std::stoull(value("rev"));
        }
        if (p_method == "POST")
        {
            return objects_.create(kind, body);
        }
        if (p_method == "PUT")
        {
            return objects_.replace(kind, name, revision, body);
        }
        if (p_method == "DELETE")
        {
            return objects_.remove(kind, name, revision);
        }
        if (!name.empty())
        {
            return objects_.get(kind, name);
        }
        if (value("watch").empty())
        {
            return objects_.list(kind, value("after"));
        }
        return watch(kind, std::stoull(value("watch")),
                     std::atof(value("wait_ms").c_str()) / 1000, r_stream);
    }

    store_response watch(const std::string& p_kind, std::uint64_t p_since,
                         double p_wait, stream& r_stream)
    {
        {
            const std::lock_guard lock(mutex_);
            watching_.insert(&r_stream);
        }
        const double until = now() + std::min(p_wait, 30.0);
        store_response answer;
        do
        {
            answer =
                objects_.watch(p_kind, p_since, std::chrono::milliseconds(5));
        } while (answer.status_ == 200 && answer.body_["events"].empty() &&
                 now() < until && !r_stream.peer_closed());
        const std::lock_guard lock(mutex_);
        watching_.erase(&r_stream);
        return answer;
    }

    in_memory_store objects_;
    std::mutex mutex_;
    std::set<stream*> watching_;
    server server_;
};

// ---------------------------------------------------------------- servers

/// What a server did with one request.
struct run
{
    std::string server_;
    std::string attempt_;
    double arrived_ = 0;
    double ended_ = 0;      ///< 0 while it runs.
    bool answered_ = false; ///< Its answer was written whole.
};

inline std::mutex runs_mutex;
inline std::vector<run> runs;

inline std::size_t add_run(const std::string& p_server,
                           const std::string& p_attempt)
{
    const std::lock_guard lock(runs_mutex);
    runs.push_back({p_server, p_attempt, now(), 0, false});
    return runs.size() - 1;
}

inline void end_run(std::size_t p_run, bool p_answered)
{
    const std::lock_guard lock(runs_mutex);
    runs[p_run].ended_ = now();
    runs[p_run].answered_ = p_answered;
}

/// A server of a service. `work` in the body is the milliseconds that a plain
/// request takes; `events` and `pause` are a stream's events and the
/// milliseconds between them.
class engine
{
public:
    engine(std::string p_id, std::string p_service, const endpoint& p_at,
           int p_slots, std::string p_version = "1")
        : id_(std::move(p_id)),
          version_(std::move(p_version)),
          service_(std::move(p_service)),
          slots_(p_slots),
          born_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count()),
          server_(p_at, [this](stream& r_stream) { serve(r_stream); })
    {
    }
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] json entry(const std::string& p_state) const
    {
        return {{"service", service_}, {"addr", server_.at().text()},
                {"zone", "zone-a"},    {"version", version_},
                {"slots", slots_},     {"state", p_state},
                {"cold_left_ms", 0},   {"seq", 1},
                {"born", born_ms_}};
    }
    void end() { server_.end(); }

private:
    void serve(stream& r_stream)
    {
        message request;
        while (read_message(r_stream, now() + 600, request))
        {
            if (!answer(request, r_stream))
            {
                return;
            }
        }
    }

    bool refuse(stream& r_stream, int p_status, const std::string& p_attempt)
    {
        return r_stream.write(
            "HTTP/1.1 " + std::to_string(p_status) +
            " X\r\nNot-Executed: 1\r\n" +
            (p_attempt.empty() ? "" : "Attempt-Id: " + p_attempt + "\r\n") +
            "Content-Length: 0\r\n\r\n");
    }

    bool answer(const message& p_request, stream& r_stream)
    {
        const std::string attempt = p_request.header("attempt-id");
        if (p_request.first_.starts_with("GET /healthz ") ||
            p_request.first_.starts_with("GET /v1/report "))
        {
            const std::string body = "{\"queued\":0,\"running\":0}";
            return r_stream.write(
                "HTTP/1.1 200 OK\r\nInstance-Id: " + id_ +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
        }
        if (attempt.empty())
        {
            return refuse(r_stream, 400, "");
        }
        if (const auto expected = p_request.header("expect-instance");
            !expected.empty() && expected != id_)
        {
            return refuse(r_stream, 421, attempt);
        }
        if (++running_ > slots_ + 24)
        {
            --running_;
            return refuse(r_stream, 503, attempt);
        }
        const std::size_t this_run = add_run(id_, attempt);
        const json asked = json::parse(p_request.body_, nullptr, false);
        const bool ok = asked.is_object() && asked.contains("events")
                            ? stream_events(asked, p_request, r_stream)
                            : whole(asked, attempt, r_stream);
        --running_;
        end_run(this_run, ok);
        return ok;
    }

    std::string seal(const std::string& p_attempt) const
    {
        return "Attempt-Id: " + p_attempt + "\r\nResponse-Seal: " + id_ + "." +
               p_attempt + "\r\n";
    }

    bool whole(const json& p_asked, const std::string& p_attempt,
               stream& r_stream)
    {
        const double work =
            p_asked.is_object() ? p_asked.value("work", 30.0) : 30.0;
        sleep_s(work / 1000);
        const std::string body = "done " + p_attempt;
        return r_stream.write("HTTP/1.1 200 OK\r\n" + seal(p_attempt) +
                              "Content-Length: " + std::to_string(body.size()) +
                              "\r\n\r\n" + body);
    }

    /// Goes on after `Last-Event-Id`. Events name the server's version.
    bool stream_events(const json& p_asked, const message& p_request,
                       stream& r_stream)
    {
        const std::string attempt = p_request.header("attempt-id");
        const int done = std::atoi(p_request.header("last-event-id").c_str());
        if (!r_stream.write("HTTP/1.1 200 OK\r\n" + seal(attempt) +
                            "Content-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"))
        {
            return false;
        }
        const int events = p_asked.value("events", 1);
        const double pause = p_asked.value("pause", 50.0);
        for (int i = done + 1; i <= events; ++i)
        {
            sleep_s(pause / 1000);
            const std::string event = "id: " + std::to_string(i) +
                                      "\ndata: version " + version_ + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (r_stream.peer_closed() ||
                !r_stream.write(size + event + "\r\n"))
            {
                return false;
            }
        }
        return r_stream.write("0\r\n\r\n");
    }

    std::string id_;
    std::string version_;
    std::string service_;
    int slots_;
    std::int64_t born_ms_;
    std::atomic<int> running_{0};
    server server_;
};

// ---------------------------------------------------------------- nodes

/// The project's daemon as a process of its own, with the command and the
/// template of settings of the deploy file.
class node
{
public:
    node(std::string p_name, std::string p_ip, std::string p_run_folder)
        : name_(std::move(p_name)),
          ip_(std::move(p_ip)),
          folder_(std::move(p_run_folder)),
          callers_{ip_, free_port(ip_)},
          ready_{ip_, free_port(ip_)},
          directory_{ip_, free_port(ip_)},
          control_{ip_, free_port(ip_)},
          metrics_{ip_, free_port(ip_)}
    {
    }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const endpoint& callers() const { return callers_; }
    [[nodiscard]] const endpoint& directory() const { return directory_; }
    [[nodiscard]] const endpoint& control() const { return control_; }
    [[nodiscard]] const endpoint& metrics() const { return metrics_; }
    [[nodiscard]] pid_t pid() const { return pid_; }

    /// Fills in the template and starts the daemon.
    void start(const endpoint& p_store, const std::string& p_seeds,
               bool p_first_start)
    {
        const std::map<std::string, std::string> values{
            {"node", name_},
            {"zone", "zone-a"},
            {"ip", ip_},
            {"listen.front", callers_.text()},
            {"listen.ready", ready_.text()},
            {"listen.directory", directory_.text()},
            {"listen.control", control_.text()},
            {"platform.addr", p_store.text()},
            {"bootstrap", p_first_start ? "true" : "false"},
            {"seeds", p_seeds},
            {"bounds.grace_s", "8"},
            {"bounds.drain_ms", "2000"},
            {"bounds.retry_ratio", "0.2"},
            {"bounds.retry_slack", "54"},
            {"bounds.retry_window_s", "10"},
            {"limits.max_fds", "4100"},
            {"limits.link_mbps", "1000"}};
        std::ifstream source("deploy/node.ini.template");
        std::stringstream text;
        text << source.rdbuf();
        std::string settings = text.str();
        for (const auto& [key, value] : values)
        {
            const std::string mark = "{{" + key + "}}";
            for (auto at = settings.find(mark); at != std::string::npos;
                 at = settings.find(mark))
            {
                settings.replace(at, mark.size(), value);
            }
        }
        // A metrics port that is free here.
        if (const auto fixed = settings.find(":9464");
            fixed != std::string::npos)
        {
            settings.replace(fixed, 5, ":" + std::to_string(metrics_.port_));
        }
        const std::string path = folder_ + "/" + name_ + ".ini";
        std::ofstream(path) << settings;
        pid_ = fork();
        if (pid_ == 0)
        {
            // It ends with the script, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open((folder_ + "/" + name_ + ".log").c_str(),
                                 O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            execl("target/bin/peridotspard", "target/bin/peridotspard",
                  "--entry-settings", path.c_str(), nullptr);
            _exit(127);
        }
        exited_at_ = 0;
        record("node %s starts at %s, process %d", name_.c_str(),
               callers_.text().c_str(), pid_);
    }
    void signal(int p_signal)
    {
        if (pid_ > 0)
        {
            kill(pid_, p_signal);
            record("node %s gets signal %d", name_.c_str(), p_signal);
        }
    }
    /// Whether the process has ended; collects it.
    bool has_exited()
    {
        if (pid_ <= 0)
        {
            return true;
        }
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) != pid_)
        {
            return false;
        }
        exited_at_ = now();
        record("node %s has ended, status %d", name_.c_str(), status);
        pid_ = -1;
        return true;
    }
    [[nodiscard]] double exited_at() const { return exited_at_; }
    [[nodiscard]] bool is_ready() const
    {
        stream call;
        message answer;
        return call.connect(ready_, 1) &&
               call.write("GET /v1/readyz HTTP/1.1\r\nHost: r\r\n\r\n") &&
               read_message(call, now() + 1, answer) && answer.status() == 200;
    }

private:
    std::string name_;
    std::string ip_;
    std::string folder_;
    endpoint callers_;
    endpoint ready_;
    endpoint directory_;
    endpoint control_;
    endpoint metrics_;
    pid_t pid_ = -1;
    double exited_at_ = 0;
};

inline std::list<node> nodes;

inline void end_nodes()
{
    for (node& each : nodes)
    {
        if (!each.has_exited())
        {
            kill(each.pid(), SIGCONT);
            kill(each.pid(), SIGKILL);
            int status = 0;
            waitpid(each.pid(), &status, 0);
        }
    }
}

inline std::string run_folder;

/// Ends all that was started and leaves with the script's exit code.
[[noreturn]] inline void leave(int p_code)
{
    end_nodes();
    record("exit code %d", p_code);
    std::cout.flush();
    if (!run_folder.empty() && std::getenv("KEEP_LOGS") == nullptr)
    {
        const std::string command = "rm -rf '" + run_folder + "'";
        [[maybe_unused]] const int ignored = std::system(command.c_str());
    }
    _exit(p_code);
}

[[noreturn]] inline void could_not_run(const std::string& p_why)
{
    record("could not run: %s", p_why.c_str());
    std::cerr << "could not run: " << p_why << "\n";
    leave(2);
}

/// Opens record.txt in the case's folder and makes the temporary folder.
inline void begin(const std::string& p_case_folder)
{
    ::signal(SIGPIPE, SIG_IGN);
    record_file.open(p_case_folder + "/record.txt", std::ios::trunc);
    const char* base = std::getenv("TMPDIR");
    std::string name =
        std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    if (mkdtemp(name.data()) == nullptr)
    {
        could_not_run("no temporary folder");
    }
    run_folder = name;
}

inline bool has_trouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

/// Starts `p_count` nodes at 127.0.`p_net`.1 and following addresses.
inline void start_nodes(int p_net, int p_count, const store& p_store)
{
    for (int i = 1; i <= p_count; ++i)
    {
        nodes.emplace_back("edge-" + std::to_string(i),
                           "127.0." + std::to_string(p_net) + "." +
                               std::to_string(i),
                           run_folder);
    }
    std::string seeds;
    int seed = 0;
    for (const node& each : nodes)
    {
        if (++seed <= 3)
        {
            seeds += (seeds.empty() ? "" : ",") + each.control().text();
        }
    }
    for (node& each : nodes)
    {
        each.start(p_store.at(), seeds, true);
    }
    for (node& each : nodes)
    {
        const double until = now() + 15;
        while (!each.is_ready())
        {
            if (now() > until || each.has_exited())
            {
                could_not_run(each.name() + " isn't ready");
            }
            sleep_s(0.05);
        }
    }
    record("all nodes are ready");
}

inline std::string seeds_of_nodes()
{
    std::string seeds;
    int seed = 0;
    for (const node& each : nodes)
    {
        if (++seed <= 3)
        {
            seeds += (seeds.empty() ? "" : ",") + each.control().text();
        }
    }
    return seeds;
}

/// The operator's configuration, with the figures of the users' sheet.
inline json configuration(int p_version)
{
    return {{"version", p_version},
            {"routes",
             {{{"name", "job-book"},
               {"host", "co-op.example"},
               {"path_prefix", "/job/"},
               {"kind", "unsafe"},
               {"service", "orders-app"},
               {"max_attempts", 1},
               {"timeout_ms", 1200},
               {"slo_ms", 150},
               {"priority", 2}},
              {{"name", "stock-check"},
               {"host", "co-op.example"},
               {"path_prefix", "/stock/"},
               {"kind", "safe"},
               {"service", "orders-app"},
               {"max_attempts", 2},
               {"timeout_ms", 1200},
               {"slo_ms", 150},
               {"priority", 2}},
              {{"name", "kerb-chat"},
               {"host", "co-op.example"},
               {"path_prefix", "/chat/"},
               {"kind", "streaming"},
               {"service", "peridot-pool"},
               {"max_attempts", 1},
               {"timeout_ms", 15000},
               {"slo_ms", 500},
               {"itl_target_ms", 200},
               {"sticky", true},
               {"priority", 0}}}},
            {"services",
             {{{"name", "orders-app"},
               {"health_path", "/healthz"},
               {"max_conns", 100}},
              {{"name", "peridot-pool"},
               {"health_path", "/healthz"},
               {"max_conns", 360},
               {"engine", {{"slots", 64}, {"kv_capacity", 628481}}}}}},
            {"tenants", {{{"name", "crew"}, {"api_keys", {"crew-key"}}}}},
            {"limits",
             {{"header_bytes", 16384},
              {"body_bytes", 4194304},
              {"header_timeout_ms", 5000},
              {"idle_timeout_ms", 15000}}}};
}

// ---------------------------------------------------------------- callers

inline std::string new_attempt()
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard lock(mutex);
    char text[24];
    std::snprintf(text, sizeof(text), "%016llx",
                  static_cast<unsigned long long>(random()));
    return text;
}

inline std::string request_text(const std::string& p_attempt,
                                const std::string& p_path, int p_deadline_ms,
                                const std::string& p_body,
                                const std::string& p_more = "")
{
    return "POST " + p_path +
           " HTTP/1.1\r\nHost: co-op.example\r\nAttempt-Id: " + p_attempt +
           "\r\nDeadline-Ms: " + std::to_string(p_deadline_ms) +
           "\r\nAuthorization: Bearer crew-key\r\n" + p_more +
           "Content-Length: " + std::to_string(p_body.size()) + "\r\n\r\n" +
           p_body;
}

/// Where a caller connects: it asks the nodes' directories as the pages say.
/// It keeps an answer for its time, and longer if it gets no new one.
class address_book
{
public:
    [[nodiscard]] std::vector<endpoint> addresses()
    {
        const std::lock_guard lock(mutex_);
        if (now() >= valid_until_)
        {
            resolve();
        }
        return addresses_;
    }

private:
    void resolve()
    {
        int asked = 0;
        for (const node& each : nodes)
        {
            stream call;
            message answer;
            if (++asked > 3)
            {
                break;
            }
            if (!call.connect(each.directory(), 1) ||
                !call.write("GET /v1/resolve?name=co-op.example&region=r&"
                            "zone=zone-a HTTP/1.1\r\nHost: d\r\n"
                            "Connection: close\r\n\r\n") ||
                !read_message(call, now() + 1, answer) ||
                answer.status() != 200)
            {
                continue;
            }
            const json body = json::parse(answer.body_, nullptr, false);
            if (!body.is_object() || !body.contains("addrs") ||
                body["addrs"].empty())
            {
                continue;
            }
            addresses_.clear();
            for (const auto& address : body["addrs"])
            {
                addresses_.push_back(
                    parse_endpoint(address.get<std::string>()));
            }
            valid_until_ = now() + std::min(5.0, body.value("ttl_s", 1.0));
            return;
        }
        // It keeps what it has, and asks again soon.
        valid_until_ = now() + 0.2;
    }

    std::mutex mutex_;
    std::vector<endpoint> addresses_;
    double valid_until_ = 0;
};

/// What a caller saw of one request.
struct attempt
{
    std::string id_;
    endpoint to_;
    double sent_ = 0; ///< Its last byte was sent; 0: it wasn't.
    double ended_ = 0;
    int status_ = 0;       ///< 0: the connection ended without a whole answer.
    bool gave_up_ = false; ///< Its deadline was over.
    bool sealed_ = false;
    bool whole_ = false;
    bool kept_ = false; ///< On a connection that had served one before.
};

inline std::mutex attempts_mutex;
inline std::vector<attempt> attempts;

inline void add_attempt(const attempt& p_attempt)
{
    const std::lock_guard lock(attempts_mutex);
    attempts.push_back(p_attempt);
}

/// Sends one request on a connection, which is opened if it isn't open, and
/// waits for the answer.
inline attempt call(stream& r_stream, const endpoint& p_to,
                    const std::string& p_path, int p_deadline_ms,
                    const std::string& p_body)
{
    attempt result;
    result.id_ = new_attempt();
    result.to_ = p_to;
    const double until = now() + p_deadline_ms / 1000.0;
    if (r_stream.is_open() && r_stream.peer_closed())
    {
        r_stream.close();
    }
    result.kept_ = r_stream.is_open();
    if (r_stream.is_open() || r_stream.connect(p_to, 1))
    {
        if (r_stream.write(
                request_text(result.id_, p_path, p_deadline_ms, p_body)))
        {
            result.sent_ = now();
            message answer;
            result.whole_ = read_message(r_stream, until, answer);
            result.gave_up_ = !result.whole_ && r_stream.timed_out_;
            result.status_ = result.whole_ ? answer.status() : 0;
            result.sealed_ = !answer.header("response-seal").empty();
            if (!result.whole_ || answer.header("connection") == "close")
            {
                r_stream.close();
            }
        }
        else
        {
            r_stream.close();
        }
    }
    result.ended_ = now();
    add_attempt(result);
    return result;
}

/// The first run of an attempt; null if no server has run it.
inline const run* run_of(const std::string& p_attempt)
{
    for (const run& each : runs)
    {
        if (each.attempt_ == p_attempt)
        {
            return &each;
        }
    }
    return nullptr;
}

} // namespace scene
