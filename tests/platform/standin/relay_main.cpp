// Compares the time to the first event of a stream through an entry node with
// that of a direct call to the engine, without other load and beside 300
// streams.

#include "ctl/load_generator.hpp"
#include "tests/platform/wire_headers.hpp"

#include <chrono>
#include <cstdio>
#include <thread>

#include <boost/asio.hpp>
#include <popt.h>

namespace
{

using namespace peridotspar;
using boost::asio::ip::tcp;
using clock_type = std::chrono::steady_clock;

const std::string measured_path = "/stream/x";
/// The background streams use a service with its own engine, so that they share
/// only the node with the measured ones.
const std::string background_path = "/beside/x";
constexpr int background_streams = 300;
constexpr int background_events = 300;
constexpr int measured_events = 20;
constexpr int rounds_alone = 400;
constexpr int rounds_with_background = 200;
constexpr double median = 0.5;
constexpr double p99 = 0.99;

/// Sends requests to a node or an engine. Each uses a new connection, because
/// an engine could close an idle one between two rounds; connecting isn't
/// measured.
class caller
{
public:
    caller(boost::asio::io_context& p_context, const std::string& p_address,
           std::uint16_t p_port)
        : server_(boost::asio::ip::make_address(p_address), p_port),
          socket_(p_context)
    {
    }
    /// Time to the first event in ms; negative if the stream isn't complete.
    double stream(const std::string& p_path, const std::string& p_id,
                  int p_events)
    {
        boost::system::error_code error;
        socket_.close(error);
        socket_.connect(server_, error);
        if (error)
        {
            return -1;
        }
        socket_.set_option(tcp::no_delay(true));
        const std::string body = "out=" + std::to_string(p_events);
        const std::string request =
            "POST " + p_path + " HTTP/1.1\r\nHost: h\r\n" WIRE_ATTEMPT ": " +
            p_id +
            "\r\n" WIRE_TIME_LEFT ": 30000\r\nAuthorization: Bearer key\r\n"
            "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        const auto sent = clock_type::now();
        boost::asio::write(socket_, boost::asio::buffer(request), error);
        received_.clear();
        while (received_.find("data: ") == std::string::npos)
        {
            if (!read())
            {
                return -1;
            }
        }
        const std::chrono::duration<double, std::milli> first =
            clock_type::now() - sent;
        while (!received_.ends_with("0\r\n\r\n"))
        {
            if (!read())
            {
                return -1;
            }
        }
        return first.count();
    }

private:
    bool read()
    {
        boost::system::error_code error;
        const std::size_t count =
            socket_.read_some(boost::asio::buffer(bytes_), error);
        received_.append(bytes_.data(), count);
        constexpr std::size_t max_buffered_bytes = 65536;
        if (received_.size() > max_buffered_bytes)
        {
            received_.erase(0, received_.size() - max_buffered_bytes / 2);
        }
        return !error;
    }

    tcp::endpoint server_;
    tcp::socket socket_;
    std::array<char, 16384> bytes_{};
    std::string received_;
};

struct first_event_times
{
    std::vector<double> first_ms_;
    int failed_ = 0;

    void add(double p_first_ms)
    {
        if (p_first_ms < 0)
        {
            ++failed_;
            return;
        }
        first_ms_.push_back(p_first_ms);
    }
};

struct server_address
{
    std::string address_;
    std::uint16_t port_ = 0;
};

/// Alternates direct and routed requests, so that changes in the machine's load
/// affect both alike.
void compare(const char* p_name, const server_address& p_engine,
             const server_address& p_node, int p_rounds)
{
    boost::asio::io_context context;
    caller direct(context, p_engine.address_, p_engine.port_);
    caller routed(context, p_node.address_, p_node.port_);
    first_event_times direct_times;
    first_event_times routed_times;
    for (int i = 0; i < p_rounds; ++i)
    {
        const std::string id = p_name + std::to_string(i);
        direct_times.add(
            direct.stream(measured_path, "d" + id, measured_events));
        routed_times.add(
            routed.stream(measured_path, "n" + id, measured_events));
    }
    std::printf("bench=entry_relay case=%s failed=%d direct_first_p50_ms=%.3f "
                "node_first_p50_ms=%.3f added_first_p50_ms=%.3f "
                "added_first_p99_ms=%.3f\n",
                p_name, direct_times.failed_ + routed_times.failed_,
                percentile(direct_times.first_ms_, median),
                percentile(routed_times.first_ms_, median),
                percentile(routed_times.first_ms_, median) -
                    percentile(direct_times.first_ms_, median),
                percentile(routed_times.first_ms_, p99) -
                    percentile(direct_times.first_ms_, p99));
    std::fflush(stdout);
}

/// Runs one stream through a node to an engine that the node chooses.
void run_background_stream(const server_address& p_node, int p_number,
                           int p_events)
{
    boost::asio::io_context context;
    caller routed(context, p_node.address_, p_node.port_);
    if (routed.stream(background_path, "b" + std::to_string(p_number),
                      p_events) < 0)
    {
        std::fprintf(stderr, "background stream %d failed or ended early\n",
                     p_number);
    }
}

} // namespace

int main(int p_count, char** p_arguments)
{
    char* engine = nullptr;
    char* node = nullptr;
    int engine_port = 0;
    int node_port = 0;
    int streams = background_streams;
    poptOption options[] = {{"engine", 0, POPT_ARG_STRING, &engine, 0,
                             "IPv4 address of the engine", "ADDRESS"},
                            {"engine-port", 0, POPT_ARG_INT, &engine_port, 0,
                             "port of the engine", "PORT"},
                            {"node", 0, POPT_ARG_STRING, &node, 0,
                             "IPv4 address of the node", "ADDRESS"},
                            {"node-port", 0, POPT_ARG_INT, &node_port, 0,
                             "port of the node", "PORT"},
                            {"streams", 0, POPT_ARG_INT, &streams, 0,
                             "number of background streams", "N"},
                            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(
        nullptr, p_count, const_cast<const char**>(p_arguments), options, 0);
    if (poptGetNextOpt(context) < -1 || engine == nullptr || node == nullptr)
    {
        poptPrintUsage(context, stderr, 0);
        return 2;
    }
    const server_address direct{engine,
                                static_cast<std::uint16_t>(engine_port)};
    const server_address routed{node, static_cast<std::uint16_t>(node_port)};
    compare("alone", direct, routed, rounds_alone);
    std::vector<std::thread> background;
    for (int i = 0; i < streams; ++i)
    {
        background.emplace_back(run_background_stream, routed, i,
                                background_events);
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    compare("beside_streams", direct, routed, rounds_with_background);
    for (auto& thread : background)
    {
        thread.join();
    }
    poptFreeContext(context);
    return 0;
}
