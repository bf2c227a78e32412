#pragma once

#include "standins/command_line.hpp"
#include "transport/http_server.hpp"

#include <csignal>
#include <cstdint>

namespace peridotspar
{

/// Serves until SIGTERM or SIGINT arrives.
inline void run_until_stopped(const standin_options& p_options,
                              std::uint32_t p_threads,
                              http_server::handler p_handler)
{
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stops, nullptr);
    http_server server({address_of(p_options),
                        static_cast<std::uint16_t>(p_options.port_), p_threads},
                       std::move(p_handler));
    int received = 0;
    sigwait(&stops, &received);
    server.stop();
}

} // namespace peridotspar
