#pragma once

#include "standins/command_line.hpp"
#include "transport/http_server.hpp"

#include <csignal>
#include <cstdint>

namespace peridotspar
{

/// Serves HTTP on `p_threads` threads until SIGTERM or SIGINT arrives. Both
/// signals are blocked in the calling thread and the threads that it starts.
inline void run_until_stopped(const standin_options& p_options,
                              std::uint32_t p_threads,
                              http_server::handler p_handler)
{
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    http_server server({listen_address(p_options),
                        static_cast<std::uint16_t>(p_options.port_), p_threads},
                       std::move(p_handler));
    int received_signal = 0;
    sigwait(&stop_signals, &received_signal);
    server.stop();
}

} // namespace peridotspar
