// Small stand-ins for the platform's store, engines and clients, and functions
// that start the project's nodes as processes. Everything is on 127.0.0.1.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace lab
{

using json = nlohmann::json;
using clk = std::chrono::steady_clock;

inline const clk::time_point origin = clk::now();
/// Seconds since the start of the test.
inline double now()
{
    return std::chrono::duration<double>(clk::now() - origin).count();
}
inline void sleep_s(double p_s)
{
    if (p_s > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(p_s));
}
inline bool trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// record.txt: what was sent, answered and run.
class record
{
public:
    static void open(const std::string& p_path)
    {
        file() = std::fopen(p_path.c_str(), "w");
    }
    __attribute__((format(printf, 1, 2))) static void line(const char* p_format,
                                                           ...)
    {
        static std::mutex lock;
        const std::lock_guard guard(lock);
        if (file() == nullptr)
            return;
        std::fprintf(file(), "%8.3f  ", now());
        va_list arguments;
        va_start(arguments, p_format);
        std::vfprintf(file(), p_format, arguments);
        va_end(arguments);
        std::fputc('\n', file());
        std::fflush(file());
    }

private:
    static std::FILE*& file()
    {
        static std::FILE* open_file = nullptr;
        return open_file;
    }
};

inline std::string lower(std::string p_text)
{
    for (char& c : p_text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return p_text;
}

/// One HTTP message. Header names are in lower case.
struct message
{
    std::string first_;
    std::map<std::string, std::string> headers_;
    std::string body_;
    bool whole_ = false; ///< The body is complete.
    [[nodiscard]] std::string header(const std::string& p_name) const
    {
        const auto found = headers_.find(lower(p_name));
        return found == headers_.end() ? std::string() : found->second;
    }
    [[nodiscard]] std::string method() const
    {
        return first_.substr(0, first_.find(' '));
    }
    [[nodiscard]] std::string target() const
    {
        const auto from = first_.find(' ') + 1;
        return first_.substr(from, first_.find(' ', from) - from);
    }
    [[nodiscard]] int status() const
    {
        return first_.size() < 12 ? 0 : std::atoi(first_.c_str() + 9);
    }
};

/// A blocking connection with a deadline for each operation.
class stream
{
public:
    explicit stream(int p_fd = -1) : fd_(p_fd) {}
    ~stream() { close(); }
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;
    [[nodiscard]] int fd() const { return fd_; }
    [[nodiscard]] bool ok() const { return fd_ >= 0; }
    void close()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }
    /// Ends the connection with a reset.
    void reset()
    {
        if (fd_ < 0)
            return;
        const linger off{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &off, sizeof off);
        close();
    }
    bool connect(int p_port, double p_timeout_s = 1)
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(p_port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::fcntl(fd_, F_SETFL, O_NONBLOCK);
        int result = ::connect(fd_, reinterpret_cast<sockaddr*>(&address),
                               sizeof address);
        if (result != 0 && errno == EINPROGRESS)
        {
            pollfd wait{fd_, POLLOUT, 0};
            if (::poll(&wait, 1, static_cast<int>(p_timeout_s * 1000)) == 1)
            {
                socklen_t size = sizeof result;
                ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &result, &size);
            }
        }
        ::fcntl(fd_, F_SETFL, 0);
        if (result != 0)
        {
            close();
            return false;
        }
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return true;
    }
    bool write(const std::string& p_text) const
    {
        std::size_t done = 0;
        while (fd_ >= 0 && done < p_text.size())
        {
            const auto count = ::send(fd_, p_text.data() + done,
                                      p_text.size() - done, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            done += static_cast<std::size_t>(count);
        }
        return fd_ >= 0;
    }
    /// Reads more bytes into the buffer; false at the end, an error or the
    /// deadline.
    bool more(double p_until)
    {
        if (fd_ < 0)
            return false;
        pollfd wait{fd_, POLLIN, 0};
        const double left = p_until - now();
        if (left <= 0 ||
            ::poll(&wait, 1, static_cast<int>(left * 1000) + 1) != 1)
        {
            timed_out_ = true;
            return false;
        }
        char bytes[65536];
        const auto count = ::recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0)
        {
            ended_ = true;
            was_reset_ = count < 0;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    [[nodiscard]] bool timed_out() const { return timed_out_; }
    [[nodiscard]] bool was_reset() const { return was_reset_; }
    [[nodiscard]] bool has_bytes() const { return !buffer_.empty(); }

    bool read_head(message& r_message, double p_until)
    {
        std::size_t end;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
            if (!more(p_until))
                return false;
        std::istringstream lines(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::string text;
        std::getline(lines, text);
        r_message.first_ = text.substr(0, text.find('\r'));
        while (std::getline(lines, text))
        {
            text = text.substr(0, text.find('\r'));
            const auto colon = text.find(':');
            if (colon == std::string::npos)
                continue;
            const auto from = text.find_first_not_of(' ', colon + 1);
            r_message.headers_[lower(text.substr(0, colon))] =
                from == std::string::npos ? "" : text.substr(from);
        }
        return true;
    }
    /// Reads the body by its framing. `p_to_end`: without one it goes to the
    /// end of the connection. `p_on_bytes` gets the parts of a chunked body.
    bool
    read_body(message& r_message, double p_until, bool p_to_end,
              const std::function<void(const std::string&)>& p_on_bytes = {})
    {
        if (lower(r_message.header("transfer-encoding")) == "chunked")
        {
            while (true)
            {
                std::size_t end;
                while ((end = buffer_.find("\r\n")) == std::string::npos)
                    if (!more(p_until))
                        return false;
                const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
                while (buffer_.size() < end + 2 + size + 2)
                    if (!more(p_until))
                        return false;
                if (size > 0 && p_on_bytes)
                    p_on_bytes(buffer_.substr(end + 2, size));
                r_message.body_ += buffer_.substr(end + 2, size);
                buffer_.erase(0, end + 2 + size + 2);
                if (size == 0)
                    return r_message.whole_ = true;
            }
        }
        const std::string length = r_message.header("content-length");
        if (length.empty() && p_to_end)
        {
            while (more(p_until))
            {
            }
            r_message.body_ = std::exchange(buffer_, {});
            return r_message.whole_ = !timed_out_ && !was_reset_;
        }
        const auto size = std::strtoul(length.c_str(), nullptr, 10);
        while (buffer_.size() < size)
            if (!more(p_until))
            {
                r_message.body_ = buffer_;
                return false;
            }
        r_message.body_ = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return r_message.whole_ = true;
    }

private:
    int fd_;
    std::string buffer_;
    bool timed_out_ = false;
    bool ended_ = false;
    bool was_reset_ = false;
};

inline std::string
text_of(const std::string& p_first,
        const std::vector<std::pair<std::string, std::string>>& p_headers,
        const std::string& p_body)
{
    std::string text = p_first + "\r\n";
    for (const auto& [name, value] : p_headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(p_body.size()) +
           "\r\n\r\n" + p_body;
}

/// Accepts connections and serves each with a thread of its own.
class server
{
public:
    using handler = std::function<void(stream&)>;
    server() = default;
    ~server() { stop(); }
    /// Port 0: a free one.
    bool start(handler p_handler, int p_port = 0)
    {
        handler_ = std::move(p_handler);
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(p_port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&address),
                   sizeof address) != 0 ||
            ::listen(fd_, 1024) != 0)
            return false;
        socklen_t size = sizeof address;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this, fd = fd_] { accept(fd); }).detach();
        return true;
    }
    [[nodiscard]] int port() const { return port_; }
    /// Accepts no more.
    void refuse()
    {
        if (fd_ < 0)
            return;
        ::shutdown(fd_, SHUT_RDWR);
        ::close(std::exchange(fd_, -1));
    }
    /// Accepts no more and ends the open connections.
    void stop()
    {
        refuse();
        const std::lock_guard guard(lock_);
        for (const int each : open_)
            ::shutdown(each, SHUT_RDWR);
    }

private:
    void accept(int p_fd)
    {
        while (true)
        {
            const int fd = ::accept4(p_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard guard(lock_);
                open_.insert(fd);
            }
            std::thread(
                [this, fd]
                {
                    stream connection(fd);
                    handler_(connection);
                    const std::lock_guard guard(lock_);
                    open_.erase(fd);
                })
                .detach();
        }
    }
    handler handler_;
    int fd_ = -1;
    int port_ = 0;
    std::mutex lock_;
    std::set<int> open_;
};

/// The platform's store, in its object form. Each node gets a port of its own,
/// so that it is known who calls.
class store
{
public:
    store() { revision_ = 100; }
    /// Opens one more port; returns its number.
    int open(int p_caller)
    {
        servers_.push_back(std::make_unique<server>());
        servers_.back()->start([this, p_caller](stream& r_stream)
                               { serve(r_stream, p_caller); });
        return servers_.back()->port();
    }
    /// Writes an object as the operator or an engine does. The return is the
    /// acknowledgement.
    std::uint64_t put(const std::string& p_kind, const std::string& p_name,
                      const json& p_spec)
    {
        const std::lock_guard guard(lock_);
        json object = kinds_[p_kind].contains(p_name) ? kinds_[p_kind][p_name]
                                                      : fresh(p_name);
        object["spec"] = p_spec;
        change(p_kind, p_name, object, false);
        return revision_;
    }
    void remove(const std::string& p_kind, const std::string& p_name)
    {
        const std::lock_guard guard(lock_);
        if (kinds_[p_kind].contains(p_name))
        {
            json object = kinds_[p_kind][p_name];
            change(p_kind, p_name, object, true);
        }
    }
    /// Discards the history; waiting watches are told so.
    void forget()
    {
        const std::lock_guard guard(lock_);
        history_.clear();
        forgotten_ = ++revision_;
        changed_.notify_all();
    }
    /// Callers that wait for changes of a kind now.
    std::set<int> watchers(const std::string& p_kind)
    {
        const std::lock_guard guard(lock_);
        std::set<int> callers;
        for (const auto& [caller, kind] : waiting_)
            if (kind == p_kind)
                callers.insert(caller);
        return callers;
    }

    /// Called for each call before it is served; false: the connection is cut.
    std::function<bool(int, const message&)> on_call_;
    double answer_s_ = 0.004;
    /// Changes the text of an answer for one caller.
    std::function<std::string(int, std::string)> rewrite_;

private:
    struct event
    {
        std::uint64_t revision_;
        std::string kind_;
        json object_;
        bool removed_;
    };
    json fresh(const std::string& p_name) const
    {
        return {{"metadata",
                 {{"name", p_name},
                  {"rev", 0},
                  {"created", revision_ + 1},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"spec", json::object()},
                {"status", json::object()}};
    }
    void change(const std::string& p_kind, const std::string& p_name,
                json& r_object, bool p_removed)
    {
        r_object["metadata"]["rev"] = ++revision_;
        history_.push_back({revision_, p_kind, r_object, p_removed});
        if (p_removed)
            kinds_[p_kind].erase(p_name);
        else
            kinds_[p_kind][p_name] = r_object;
        changed_.notify_all();
    }
    static std::map<std::string, std::string> query(const std::string& p_target)
    {
        std::map<std::string, std::string> values;
        const auto mark = p_target.find('?');
        if (mark == std::string::npos)
            return values;
        std::istringstream parts(p_target.substr(mark + 1));
        std::string part;
        while (std::getline(parts, part, '&'))
        {
            const auto equals = part.find('=');
            values[part.substr(0, equals)] =
                equals == std::string::npos ? "" : part.substr(equals + 1);
        }
        return values;
    }
    void serve(stream& r_stream, int p_caller)
    {
        while (true)
        {
            message call;
            if (!r_stream.read_head(call, now() + 600) ||
                !r_stream.read_body(call, now() + 10, false))
                return;
            if (on_call_ && !on_call_(p_caller, call))
            {
                r_stream.reset();
                return;
            }
            sleep_s(answer_s_);
            int status = 200;
            const json answer = handle(call, p_caller, status);
            if (!r_stream.write(
                    text_of("HTTP/1.1 " + std::to_string(status) + " Status",
                            {{"Content-Type", "application/json"}},
                            rewrite_ ? rewrite_(p_caller, answer.dump())
                                     : answer.dump())))
                return;
        }
    }
    json handle(const message& p_call, int p_caller, int& r_status)
    {
        const std::string target = p_call.target();
        const std::string prefix = "/v1/objects/";
        std::string path = target.substr(0, target.find('?'));
        if (path.rfind(prefix, 0) != 0)
        {
            r_status = 404;
            return json::object();
        }
        path = path.substr(prefix.size());
        const auto slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name =
            slash == std::string::npos ? "" : path.substr(slash + 1);
        auto values = query(target);
        std::unique_lock guard(lock_);
        if (p_call.method() == "GET" && values.contains("watch"))
            return watch(kind, std::stoull(values["watch"]),
                         values["wait_ms"].empty()
                             ? 0
                             : std::stod(values["wait_ms"]) / 1000,
                         p_caller, guard, r_status);
        if (p_call.method() == "GET" && name.empty())
        {
            // About 500 or 1 MB at most.
            json items = json::array();
            std::size_t bytes = 0;
            bool more = false;
            for (const auto& [each, object] : kinds_[kind])
            {
                if (each <= values["after"])
                    continue;
                const std::size_t size = object.dump().size();
                more = !items.empty() &&
                       (items.size() >= 500 || bytes + size > 1048576);
                if (more)
                    break;
                bytes += size;
                items.push_back(object);
            }
            return {{"items", items}, {"more", more}, {"at", revision_}};
        }
        const json body = p_call.body_.empty()
                              ? json::object()
                              : json::parse(p_call.body_, nullptr, false);
        const std::string object_name =
            p_call.method() == "POST"
                ? body["metadata"]["name"].get<std::string>()
                : name;
        const bool exists = kinds_[kind].contains(object_name);
        if (p_call.method() == "POST")
        {
            if (exists)
            {
                r_status = 409;
                return kinds_[kind][object_name];
            }
            json object = fresh(object_name);
            object["spec"] = body.value("spec", json::object());
            change(kind, object_name, object, false);
            r_status = 201;
            return object;
        }
        if (!exists)
        {
            r_status = 404;
            return json::object();
        }
        json object = kinds_[kind][object_name];
        if (p_call.method() == "GET")
            return object;
        std::optional<std::uint64_t> wanted;
        if (values.contains("rev"))
            wanted = std::stoull(values["rev"]);
        else if (body.contains("metadata") && body["metadata"].contains("rev"))
            wanted = body["metadata"]["rev"].get<std::uint64_t>();
        if (wanted && *wanted != object["metadata"]["rev"])
        {
            r_status = 409;
            return object;
        }
        if (p_call.method() == "DELETE")
        {
            change(kind, object_name, object, true);
            return object;
        }
        const json spec = body.value("spec", json::object());
        if (spec != object["spec"])
        {
            object["spec"] = spec;
            change(kind, object_name, object, false);
        }
        return object;
    }
    json watch(const std::string& p_kind, std::uint64_t p_since, double p_wait,
               int p_caller, std::unique_lock<std::mutex>& r_guard,
               int& r_status)
    {
        if (p_since > revision_ || p_since < forgotten_)
        {
            r_status = 410;
            return json::object();
        }
        const auto forgotten = forgotten_;
        const auto entry = waiting_.insert({p_caller, p_kind});
        json events = json::array();
        const auto collect = [&]
        {
            for (const auto& each : history_)
                if (each.revision_ > p_since && each.kind_ == p_kind)
                    events.push_back(
                        {{"object", each.object_}, {"removed", each.removed_}});
            return !events.empty() || forgotten_ != forgotten;
        };
        changed_.wait_for(r_guard, std::chrono::duration<double>(p_wait),
                          collect);
        waiting_.erase(entry);
        if (forgotten_ != forgotten)
        {
            r_status = 410;
            return json::object();
        }
        return {{"events", events}, {"at", revision_}};
    }

    std::mutex lock_;
    std::condition_variable changed_;
    std::uint64_t revision_;
    std::uint64_t forgotten_ = 0; ///< Changes up to this one are gone.
    std::map<std::string, std::map<std::string, json>> kinds_;
    std::vector<event> history_;
    std::multimap<int, std::string> waiting_;
    std::vector<std::unique_ptr<server>> servers_;
};

/// A free port for TCP and UDP.
inline int free_port()
{
    static std::set<int> given;
    static std::mt19937 random(std::random_device{}());
    while (true)
    {
        // Tests that run beside each other take different blocks.
        const int port =
            20000 + ::getpid() % 40 * 300 + static_cast<int>(random() % 300);
        if (given.contains(port))
            continue;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bool is_free = true;
        for (const int type : {SOCK_STREAM, SOCK_DGRAM})
        {
            const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
            is_free &= ::bind(fd, reinterpret_cast<sockaddr*>(&address),
                              sizeof address) == 0;
            ::close(fd);
        }
        if (is_free)
        {
            given.insert(port);
            return port;
        }
    }
}

inline std::string endpoint(int p_port)
{
    return "127.0.0.1:" + std::to_string(p_port);
}

/// One entry node of the project: a process of the deploy file's command.
class node
{
public:
    struct options
    {
        std::string dir_;
        std::string zone_ = "pindi-a";
        int store_port_ = 0;
        std::vector<int> seeds_; ///< Ports for peers.
        bool first_start_ = true;
        int descriptors_ = 4100;
        std::string more_; ///< Further settings.
    };
    node(std::string p_name, int p_peer_port)
        : name_(std::move(p_name)),
          callers_(free_port()),
          ready_(free_port()),
          directory_(free_port()),
          peers_(p_peer_port),
          metrics_(free_port())
    {
    }
    ~node() { kill(); }
    static std::string program()
    {
        const char* text = std::getenv("PERIDOTSPARD");
        return text != nullptr ? text : "target/bin/peridotspard";
    }
    bool start(const options& p_options)
    {
        const std::string path = p_options.dir_ + "/" + name_ + ".ini";
        std::string seeds;
        for (const int seed : p_options.seeds_)
            seeds += (seeds.empty() ? "" : ",") + endpoint(seed);
        std::ofstream(path)
            << "[node]\nname = " << name_
            << "\nfailure_domain = " << p_options.zone_
            << "\n\n[listen]\ncallers = " << endpoint(callers_)
            << "\nreadiness = " << endpoint(ready_)
            << "\ndirectory = " << endpoint(directory_)
            << "\npeers = " << endpoint(peers_)
            << "\nmetrics = " << endpoint(metrics_)
            << "\n\n[platform]\nstore = " << endpoint(p_options.store_port_)
            << "\n\n[membership]\nfirst_start = "
            << (p_options.first_start_ ? "true" : "false")
            << "\nseeds = " << seeds
            << "\ndirectory_age = 1000ms\nstop_grace = 8s\n"
               "\n[servers]\ndrain_time = 2000ms\n"
               "\n[resends]\nratio = 0.2\nslack = 54\nwindow = 10s\n"
               "\n[limits]\ndescriptors = "
            << p_options.descriptors_ << "\nlink_mbps = 1000.0\n"
            << p_options.more_;
        const std::string log = p_options.dir_ + "/" + name_ + ".log";
        const std::string run = program();
        const pid_t child = ::fork();
        if (child == 0)
        {
            // Ends with the test, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl(run.c_str(), run.c_str(), "--entry-settings", path.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
        pid_ = child;
        return child > 0;
    }
    void signal(int p_signal) const
    {
        if (pid_ > 0)
            ::kill(pid_, p_signal);
    }
    /// SIGKILL, and waits for the end.
    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    /// How the process ended by itself; nothing while it runs.
    std::optional<int> ended()
    {
        int status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = -1;
            return status;
        }
        return std::nullopt;
    }
    [[nodiscard]] pid_t pid() const { return pid_; }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] int callers() const { return callers_; }
    [[nodiscard]] int peers() const { return peers_; }
    [[nodiscard]] bool is_ready() const
    {
        stream connection;
        message answer;
        return connection.connect(ready_, 0.3) &&
               connection.write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
               connection.read_head(answer, now() + 0.5) &&
               answer.status() == 200;
    }
    [[nodiscard]] bool wait_ready(double p_s) const
    {
        for (const double until = now() + p_s; now() < until; sleep_s(0.02))
            if (is_ready())
                return true;
        return false;
    }
    /// Resident memory in MB.
    [[nodiscard]] double memory_mb() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        double size = 0;
        double resident = 0;
        file >> size >> resident;
        return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
    }

private:
    std::string name_;
    int callers_;
    int ready_;
    int directory_;
    int peers_;
    int metrics_;
    pid_t pid_ = -1;
};

inline std::string new_id()
{
    static std::mutex lock;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard guard(lock);
    char text[20];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(random()));
    return text;
}

inline json server_spec(const std::string& p_service, int p_port,
                        std::int64_t p_born, unsigned p_slots,
                        const std::string& p_state = "ready",
                        const std::string& p_zone = "pindi-a")
{
    return {{"service", p_service}, {"addr", endpoint(p_port)},
            {"zone", p_zone},       {"version", "v1"},
            {"slots", p_slots},     {"state", p_state},
            {"cold_left_ms", 0},    {"seq", 1},
            {"born", p_born}};
}

inline json limits_spec(std::size_t p_body_bytes = 4194304)
{
    return {{"header_bytes", 16384},
            {"body_bytes", p_body_bytes},
            {"header_timeout_ms", 5000},
            {"idle_timeout_ms", 15000}};
}

/// A temporary folder; removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string text = "/tmp/review-XXXXXX";
        if (const char* base = std::getenv("TMPDIR"))
            text = std::string(base) + "/review-XXXXXX";
        path_ = ::mkdtemp(text.data());
    }
    ~temporary_folder()
    {
        if (std::getenv("KEEP") == nullptr)
            (void)!std::system(("rm -rf '" + path_ + "'").c_str());
    }
    [[nodiscard]] const std::string& path() const { return path_; }

private:
    std::string path_;
};

} // namespace lab
