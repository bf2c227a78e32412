// peridotspard: the router daemon; one runs on each entry VM.

#include "core/entry_settings.hpp"
#include "core/log.hpp"
#include "core/settings.hpp"
#include "daemon/entry_node.hpp"
#include "daemon/node.hpp"

#include <csignal>
#include <cstdio>
#include <exception>
#include <map>

#include <popt.h>

namespace
{

constexpr int exit_usage = 2;
constexpr int exit_failed = 1;

peridotspar::log_level parse_log_level(const std::string& p_name)
{
    using peridotspar::log_level;
    static const std::map<std::string, log_level> levels{
        {"debug", log_level::debug},
        {"info", log_level::info},
        {"warning", log_level::warning},
        {"error", log_level::error}};
    return levels.at(p_name);
}

/// Runs a node until it shuts down and returns the exit status of the process.
/// An exception is logged.
template <class Run>
int run_logging_errors(Run p_run)
{
    try
    {
        p_run();
        return 0;
    }
    catch (const std::exception& error)
    {
        peridotspar::log_event(peridotspar::log_level::error, "node.failed")
            .with("error", error.what());
        return exit_failed;
    }
}

/// Returns whether the settings were loaded; prints the error if not.
template <class Settings>
bool verify_loaded(const tl::expected<Settings, std::string>& p_loaded)
{
    if (!p_loaded)
    {
        std::fprintf(stderr, "peridotspard: %s\n", p_loaded.error().c_str());
    }
    return p_loaded.has_value();
}

int run_node(const std::string& p_path, bool p_check_only)
{
    const auto loaded = peridotspar::load_settings(p_path);
    if (!verify_loaded(loaded))
    {
        return exit_usage;
    }
    if (p_check_only)
    {
        std::puts("settings are valid");
        return 0;
    }
    // Block the signals before any thread starts, so that only node::run()
    // receives them.
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    peridotspar::start_logging(parse_log_level(loaded->log_level_));
    return run_logging_errors([&] { peridotspar::node(*loaded).run(); });
}

int run_entry_node(const std::string& p_path, bool p_check_only)
{
    const auto loaded = peridotspar::load_entry_settings(p_path);
    if (!verify_loaded(loaded))
    {
        return exit_usage;
    }
    if (p_check_only)
    {
        std::puts("settings are valid");
        return 0;
    }
    peridotspar::start_logging(parse_log_level(loaded->log_level_));
    return run_logging_errors(
        [&] { peridotspar::entry_node(*loaded, p_path).run(); });
}

} // namespace

int main(int p_argc, char** p_argv)
{
    char* path = nullptr;
    char* entry_path = nullptr;
    int check_only = 0;
    poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &path, 0, "settings file", "FILE"},
        {"entry-settings", 'e', POPT_ARG_STRING, &entry_path, 0,
         "settings file of a node on the cooperative platform", "FILE"},
        {"check-settings", 0, POPT_ARG_NONE, &check_only, 0,
         "check the settings file and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(
        nullptr, p_argc, const_cast<const char**>(p_argv), options, 0);
    const int status = poptGetNextOpt(context);
    const bool has_one_file = (path == nullptr) != (entry_path == nullptr);
    const bool is_usage_error =
        status < -1 || poptPeekArg(context) != nullptr || !has_one_file;
    if (is_usage_error)
    {
        std::fprintf(stderr, "peridotspard: %s\n",
                     status < -1 ? poptStrerror(status)
                                 : "expected either --settings FILE or "
                                   "--entry-settings FILE, and no arguments");
        return exit_usage;
    }
    poptFreeContext(context);
    signal(SIGPIPE, SIG_IGN);
    return path != nullptr ? run_node(path, check_only != 0)
                           : run_entry_node(entry_path, check_only != 0);
}
