// Parts that the scripts of the third review share: a record, an HTTP/1.1
// server and client on blocking sockets, the platform's object store with one
// port for each node, servers of one service, and the nodes as processes.
// Everything is on loopback addresses.

#pragma once

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab
{

using clock_type = std::chrono::steady_clock;

inline const clock_type::time_point start_time = clock_type::now();

/// Milliseconds since the start of the program.
inline double now_ms()
{
    return std::chrono::duration<double, std::milli>(clock_type::now() -
                                                     start_time)
        .count();
}

inline void sleep_ms(double p_ms)
{
    std::this_thread::sleep_for(
        std::chrono::duration<double, std::milli>(p_ms));
}

/// Writes one line for each event.
class record
{
public:
    explicit record(const std::string& p_path) : file_(p_path) {}
    void add_untimed(const std::string& p_line)
    {
        const std::lock_guard lock(mutex_);
        file_ << p_line << '\n';
    }
    void add(const std::string& p_line)
    {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof(time), "%10.1f ", now_ms());
        file_ << time << p_line << '\n' << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct message
{
    std::string start_; ///< Request line or status line.
    std::map<std::string, std::string> headers_; ///< Names in lower case.
    std::string body_;

    [[nodiscard]] std::string header(const std::string& p_name) const
    {
        const auto found = headers_.find(p_name);
        return found == headers_.end() ? std::string() : found->second;
    }
    [[nodiscard]] int status() const
    {
        return start_.size() > 12 ? std::atoi(start_.c_str() + 9) : 0;
    }
};

inline bool send_all(int p_socket, const std::string& p_bytes)
{
    std::size_t sent = 0;
    while (sent < p_bytes.size())
    {
        const auto count = ::send(p_socket, p_bytes.data() + sent,
                                  p_bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Reads messages with a length or in chunks from a socket.
class reader
{
public:
    explicit reader(int p_socket) : socket_(p_socket) {}
    bool read(message& r_message)
    {
        r_message = {};
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!fill())
            {
                return false;
            }
        }
        std::istringstream head(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::string line;
        std::getline(head, r_message.start_);
        trim(r_message.start_);
        while (std::getline(head, line))
        {
            trim(line);
            const auto colon = line.find(':');
            if (colon == std::string::npos)
            {
                continue;
            }
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char p_char)
                           { return static_cast<char>(std::tolower(p_char)); });
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            r_message.headers_[name] = value;
        }
        if (r_message.header("transfer-encoding") == "chunked")
        {
            return read_chunks(r_message.body_);
        }
        const std::size_t length = static_cast<std::size_t>(
            std::atoll(r_message.header("content-length").c_str()));
        return take(length, r_message.body_);
    }

private:
    static void trim(std::string& r_line)
    {
        while (!r_line.empty() && (r_line.back() == '\r'))
        {
            r_line.pop_back();
        }
    }
    bool fill()
    {
        char bytes[65536];
        const auto count = ::recv(socket_, bytes, sizeof(bytes), 0);
        if (count <= 0)
        {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool take(std::size_t p_count, std::string& r_text)
    {
        while (buffer_.size() < p_count)
        {
            if (!fill())
            {
                return false;
            }
        }
        r_text += buffer_.substr(0, p_count);
        buffer_.erase(0, p_count);
        return true;
    }
    bool read_chunks(std::string& r_body)
    {
        while (true)
        {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos)
            {
                if (!fill())
                {
                    return false;
                }
            }
            const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
            buffer_.erase(0, end + 2);
            std::string line_end;
            if (!take(size, r_body) || !take(2, line_end))
            {
                return false;
            }
            if (size == 0)
            {
                return true;
            }
        }
    }

    int socket_;
    std::string buffer_;
};

inline sockaddr_in to_address(const std::string& p_ip, int p_port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(p_port));
    ::inet_pton(AF_INET, p_ip.c_str(), &address.sin_addr);
    return address;
}

inline void set_timeout(int p_socket, int p_ms)
{
    const timeval time{p_ms / 1000, (p_ms % 1000) * 1000};
    ::setsockopt(p_socket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    ::setsockopt(p_socket, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
}

/// A connection to IP:PORT, or -1.
inline int connect_to(const std::string& p_ip, int p_port, int p_timeout_ms)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    set_timeout(socket, p_timeout_ms);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto address = to_address(p_ip, p_port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0)
    {
        ::close(socket);
        return -1;
    }
    return socket;
}

/// Sends a request on a new connection; the status is 0 without an answer.
inline message call(const std::string& p_ip, int p_port,
                    const std::string& p_request, int p_timeout_ms)
{
    message answer;
    const int socket = connect_to(p_ip, p_port, p_timeout_ms);
    if (socket < 0)
    {
        return answer;
    }
    reader answers(socket);
    if (!send_all(socket, p_request) || !answers.read(answer))
    {
        answer = {};
    }
    ::close(socket);
    return answer;
}

/// Listens at IP:PORT and calls a function for each request, in one thread for
/// each connection. An empty text closes the connection.
class server
{
public:
    using handler = std::function<std::string(const message&)>;
    server(const std::string& p_ip, int p_port, handler p_handle)
        : handle_(std::move(p_handle))
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto address = to_address(p_ip, p_port);
        is_open_ =
            ::bind(listener_, reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)) == 0 &&
            ::listen(listener_, 512) == 0;
        thread_ = std::thread([this] { accept(); });
    }
    ~server() { stop(); }
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    [[nodiscard]] bool is_open() const { return is_open_; }
    /// Closes the port and all connections.
    void stop()
    {
        if (stopped_.exchange(true))
        {
            return;
        }
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
        std::unique_lock lock(mutex_);
        for (const int socket : sockets_)
        {
            ::shutdown(socket, SHUT_RDWR);
        }
        ended_.wait(lock, [this] { return sockets_.empty(); });
    }

private:
    void accept()
    {
        while (is_open_ && !stopped_)
        {
            const int socket =
                ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
            {
                if (stopped_)
                {
                    return;
                }
                continue;
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const std::lock_guard lock(mutex_);
            sockets_.push_back(socket);
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }
    void serve(int p_socket)
    {
        reader requests(p_socket);
        message request;
        while (!stopped_ && requests.read(request))
        {
            const std::string answer = handle_(request);
            if (answer.empty() || !send_all(p_socket, answer))
            {
                break;
            }
        }
        const std::lock_guard lock(mutex_);
        ::close(p_socket);
        std::erase(sockets_, p_socket);
        ended_.notify_all();
    }

    handler handle_;
    int listener_ = -1;
    bool is_open_ = false;
    std::atomic<bool> stopped_{false};
    std::thread thread_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::vector<int> sockets_;
};

inline std::string answer_text(int p_status, const std::string& p_body,
                               const std::string& p_headers = {})
{
    return "HTTP/1.1 " + std::to_string(p_status) + " X\r\n" + p_headers +
           "Content-Type: application/json\r\nContent-Length: " +
           std::to_string(p_body.size()) + "\r\n\r\n" + p_body;
}

/// The platform's object store. Reads are linearizable: what a call reads is
/// fixed when it arrives, also where its answer takes long to reach a node.
class object_store
{
public:
    object_store(const std::string& p_ip, int p_first_port, int p_doors)
        : delays_ms_(static_cast<std::size_t>(p_doors)),
          cuts_(static_cast<std::size_t>(p_doors))
    {
        for (int door = 0; door < p_doors; ++door)
        {
            doors_.push_back(
                std::make_unique<server>(p_ip, p_first_port + door,
                                         [this, door](const message& p_request)
                                         { return serve(door, p_request); }));
        }
    }
    [[nodiscard]] bool is_open() const
    {
        return std::all_of(doors_.begin(), doors_.end(),
                           [](const auto& p_door)
                           { return p_door->is_open(); });
    }
    /// Answers on this door's link arrive so much later.
    void set_delay(int p_door, int p_ms)
    {
        delays_ms_[static_cast<std::size_t>(p_door)] = p_ms;
    }
    /// While it is cut, no bytes pass this door's link in either direction.
    void set_cut(int p_door, bool p_cut)
    {
        cuts_[static_cast<std::size_t>(p_door)] = p_cut;
    }
    void put(const std::string& p_kind, const std::string& p_name,
             const std::string& p_spec)
    {
        const std::lock_guard lock(mutex_);
        store(p_kind, p_name, p_spec);
    }
    void remove(const std::string& p_kind, const std::string& p_name)
    {
        const std::lock_guard lock(mutex_);
        erase(p_kind, p_name);
    }
    void stop()
    {
        {
            const std::lock_guard lock(mutex_);
            stopped_ = true;
            changed_.notify_all();
        }
        for (const auto& door : doors_)
        {
            door->stop();
        }
    }

private:
    struct object
    {
        std::uint64_t revision_ = 0;
        std::string spec_;
    };
    struct event
    {
        std::uint64_t revision_ = 0;
        std::string kind_;
        std::string text_;
    };
    static std::string to_text(const std::string& p_name,
                               const object& p_object)
    {
        return "{\"metadata\":{\"name\":\"" + p_name +
               "\",\"rev\":" + std::to_string(p_object.revision_) +
               ",\"created\":1,\"finalizers\":[],\"deleting\":false},"
               "\"spec\":" +
               p_object.spec_ + ",\"status\":{}}";
    }
    std::string store(const std::string& p_kind, const std::string& p_name,
                      const std::string& p_spec)
    {
        auto& entry = kinds_[p_kind][p_name];
        if (entry.spec_ != p_spec)
        {
            entry = {++revision_, p_spec};
            const std::string text = to_text(p_name, entry);
            events_.push_back({revision_, p_kind,
                               "{\"object\":" + text + ",\"removed\":false}"});
            changed_.notify_all();
        }
        return to_text(p_name, entry);
    }
    void erase(const std::string& p_kind, const std::string& p_name)
    {
        auto& kind = kinds_[p_kind];
        const auto found = kind.find(p_name);
        if (found == kind.end())
        {
            return;
        }
        found->second.revision_ = ++revision_;
        events_.push_back({revision_, p_kind,
                           "{\"object\":" + to_text(p_name, found->second) +
                               ",\"removed\":true}"});
        kind.erase(found);
        changed_.notify_all();
    }
    static std::string decode(const std::string& p_text)
    {
        std::string text;
        for (std::size_t i = 0; i < p_text.size(); ++i)
        {
            if (p_text[i] == '%' && i + 2 < p_text.size())
            {
                text += static_cast<char>(
                    std::stoi(p_text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            else
            {
                text += p_text[i];
            }
        }
        return text;
    }
    static std::string parameter(const std::string& p_query,
                                 const std::string& p_name)
    {
        std::istringstream parts(p_query);
        std::string part;
        while (std::getline(parts, part, '&'))
        {
            if (part.starts_with(p_name + "="))
            {
                return decode(part.substr(p_name.size() + 1));
            }
        }
        return {};
    }
    /// The text of a member that is an object or a number; empty if absent.
    static std::string member(const std::string& p_json,
                              const std::string& p_name)
    {
        const auto at = p_json.find("\"" + p_name + "\":");
        if (at == std::string::npos)
        {
            return {};
        }
        std::size_t i = at + p_name.size() + 3;
        const std::size_t first = i;
        int depth = 0;
        bool in_string = false;
        for (; i < p_json.size(); ++i)
        {
            const char c = p_json[i];
            if (in_string)
            {
                i += c == '\\' ? 1 : 0;
                in_string = c != '"';
                continue;
            }
            in_string = c == '"';
            depth += c == '{' || c == '[' ? 1 : 0;
            if (depth == 0 && (c == ',' || c == '}'))
            {
                break;
            }
            depth -= c == '}' || c == ']' ? 1 : 0;
        }
        return p_json.substr(first, i - first);
    }
    std::string serve(int p_door, const message& p_request)
    {
        await_link(p_door);
        const std::string answer = evaluate(p_request);
        await_link(p_door);
        const int delay = delays_ms_[static_cast<std::size_t>(p_door)];
        if (delay > 0)
        {
            sleep_ms(delay);
        }
        return answer;
    }
    void await_link(int p_door)
    {
        while (cuts_[static_cast<std::size_t>(p_door)])
        {
            sleep_ms(2);
        }
    }
    std::string evaluate(const message& p_request)
    {
        std::istringstream line(p_request.start_);
        std::string method;
        std::string target;
        line >> method >> target;
        const auto mark = target.find('?');
        const std::string query =
            mark == std::string::npos ? "" : target.substr(mark + 1);
        std::string path = target.substr(0, mark);
        const std::string prefix = "/v1/objects/";
        if (!path.starts_with(prefix))
        {
            return answer_text(404, "{}");
        }
        path = path.substr(prefix.size());
        const auto slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name =
            slash == std::string::npos ? "" : decode(path.substr(slash + 1));
        std::unique_lock lock(mutex_);
        if (method == "GET" && name.empty())
        {
            const std::string since = parameter(query, "watch");
            return since.empty()
                       ? list(kind, parameter(query, "after"))
                       : watch(kind, std::stoull(since),
                               std::atoi(parameter(query, "wait_ms").c_str()),
                               lock);
        }
        auto& objects = kinds_[kind];
        if (method == "GET")
        {
            const auto found = objects.find(name);
            return found == objects.end()
                       ? answer_text(404, "{}")
                       : answer_text(200, to_text(name, found->second));
        }
        const std::string& body = p_request.body_;
        if (method == "POST")
        {
            std::string created = member(member(body, "metadata"), "name");
            created = created.substr(1, created.size() - 2);
            const auto found = objects.find(created);
            if (found != objects.end())
            {
                return answer_text(409, to_text(created, found->second));
            }
            return answer_text(201, store(kind, created, member(body, "spec")));
        }
        const auto found = objects.find(name);
        if (found == objects.end())
        {
            return answer_text(404, "{}");
        }
        const std::string asked = member(member(body, "metadata"), "rev");
        if (!asked.empty() && std::stoull(asked) != found->second.revision_)
        {
            return answer_text(409, to_text(name, found->second));
        }
        if (method == "DELETE")
        {
            erase(kind, name);
            return answer_text(200, "{}");
        }
        return answer_text(200, store(kind, name, member(body, "spec")));
    }
    std::string list(const std::string& p_kind, const std::string& p_after)
    {
        std::string items;
        const auto& objects = kinds_[p_kind];
        for (auto it = objects.upper_bound(p_after); it != objects.end(); ++it)
        {
            items +=
                (items.empty() ? "" : ",") + to_text(it->first, it->second);
        }
        return answer_text(200, "{\"items\":[" + items +
                                    "],\"more\":false,\"at\":" +
                                    std::to_string(revision_) + "}");
    }
    std::string watch(const std::string& p_kind, std::uint64_t p_since,
                      int p_wait_ms, std::unique_lock<std::mutex>& r_lock)
    {
        std::string found;
        const auto collect = [&]
        {
            found.clear();
            for (auto it = events_.rbegin();
                 it != events_.rend() && it->revision_ > p_since; ++it)
            {
                if (it->kind_ == p_kind)
                {
                    found = it->text_ + (found.empty() ? "" : ",") + found;
                }
            }
            return stopped_ || !found.empty();
        };
        changed_.wait_for(r_lock, std::chrono::milliseconds(p_wait_ms),
                          collect);
        return answer_text(200, "{\"events\":[" + found + "],\"at\":" +
                                    std::to_string(revision_) + "}");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopped_ = false;
    std::uint64_t revision_ = 1;
    std::map<std::string, std::map<std::string, object>> kinds_;
    std::vector<event> events_;
    std::vector<std::atomic<int>> delays_ms_;
    std::vector<std::atomic<bool>> cuts_;
    std::vector<std::unique_ptr<server>> doors_;
};

/// Starts a program; it is killed if this process ends.
inline pid_t start_program(const std::vector<std::string>& p_words,
                           const std::string& p_output)
{
    const pid_t pid = ::fork();
    if (pid != 0)
    {
        return pid;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
        ::open(p_output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, 1);
    ::dup2(output, 2);
    std::vector<char*> words;
    for (const auto& word : p_words)
    {
        words.push_back(const_cast<char*>(word.c_str()));
    }
    words.push_back(nullptr);
    ::execv(words[0], words.data());
    ::_exit(127);
}

/// A 127.0.N network that no listener uses, as "127.0.N".
inline std::string find_network(int p_port)
{
    std::mt19937 random(std::random_device{}());
    for (int tries = 0; tries < 100; ++tries)
    {
        const std::string net = "127.0." + std::to_string(20 + random() % 220);
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = to_address(net + ".1", p_port);
        const bool is_free =
            ::bind(probe, reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)) == 0;
        ::close(probe);
        if (is_free)
        {
            return net;
        }
    }
    return {};
}

constexpr int callers_port = 8100;
constexpr int ready_port = 8101;
constexpr int directory_port = 8102;
constexpr int peers_port = 8103;
constexpr int metrics_port = 8104;
constexpr int store_port = 7100; ///< Of door 0; node I uses door I.

/// Starts node `p_number` as the deploy file does, with its own door.
inline pid_t start_node(const std::string& p_program, const std::string& p_net,
                        int p_number, bool p_first_start,
                        const std::string& p_folder)
{
    const std::string ip = p_net + "." + std::to_string(p_number);
    const auto at = [&](int p_port)
    { return ip + ":" + std::to_string(p_port); };
    const std::string path =
        p_folder + "/node" + std::to_string(p_number) + ".ini";
    std::ofstream file(path);
    file << "[node]\nname = edge-" << p_number << "\nfailure_domain = z"
         << (p_number - 1) % 3 + 1
         << "\n[listen]\ncallers = " << at(callers_port)
         << "\nreadiness = " << at(ready_port)
         << "\ndirectory = " << at(directory_port)
         << "\npeers = " << at(peers_port) << "\nmetrics = " << at(metrics_port)
         << "\n[platform]\nstore = " << p_net
         << ".200:" << store_port + p_number << "\n[membership]\nfirst_start = "
         << (p_first_start ? "true" : "false") << "\nseeds = " << p_net
         << ".1:" << peers_port << "," << p_net << ".2:" << peers_port << ","
         << p_net << ".3:" << peers_port
         << "\ndirectory_age = 1000ms\nstop_grace = 8s\n[servers]\n"
            "drain_time = 2000ms\n[resends]\nratio = 0.2\nslack = 54\n"
            "window = 10s\n[limits]\ndescriptors = 4100\nlink_mbps = 1000.0\n";
    file.close();
    return start_program({p_program, "--entry-settings", path},
                         p_folder + "/node" + std::to_string(p_number) +
                             ".log");
}

inline bool is_ready(const std::string& p_ip)
{
    return call(p_ip, ready_port, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n",
                500)
               .status() == 200;
}

/// A value of the node's metric `entry_state`; -1 without an answer.
inline double entry_state(const std::string& p_ip, const std::string& p_what)
{
    const std::string text =
        call(p_ip, metrics_port, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
             500)
            .body_;
    const std::string key = "{what=\"" + p_what + "\"} ";
    const auto found = text.find(key);
    return found == std::string::npos
               ? -1
               : std::atof(text.c_str() + found + key.size());
}

} // namespace lab
