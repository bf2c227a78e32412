#pragma once

#include "daemon/snapshot.hpp"
#include "store/platform_client.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace peridotspar
{

/// Holds the current configuration. Its thread fetches newer revisions from
/// peers or from the store, and only higher revisions are applied. Also writes
/// the documents that operators send. Unless stated otherwise, any thread may
/// call the members.
class config_manager
{
public:
    struct callbacks
    {
        /// Applies a new configuration. Called under the lock, in the order of
        /// the revisions; must not call the config_manager.
        std::function<void(std::shared_ptr<const snapshot>)> on_change_;
        /// Whether this node is one of the few that watch the store.
        std::function<bool()> is_reader_;
        /// Fetches a configuration with a higher revision than the given one,
        /// if a peer has it.
        std::function<std::optional<stored_object>(config_revision)>
            fetch_from_peer_;
    };
    /// Why a document could not be written.
    struct write_error
    {
        enum class kind : std::uint8_t
        {
            invalid,     ///< The document isn't valid; see `errors_`.
            conflict,    ///< The stored version is `current_version_`.
            unavailable, ///< Nothing was written.
            unknown,     ///< Couldn't determine whether it was written.
        };
        kind kind_ = kind::unavailable;
        std::vector<document_error> errors_;
        std::uint64_t current_version_ = 0;
    };

    config_manager(platform_client& r_store, callbacks p_callbacks);
    ~config_manager();
    config_manager(const config_manager&) = delete;
    config_manager& operator=(const config_manager&) = delete;

    /// Starts the thread. Call it once.
    void start();
    /// Stops and joins the thread; may wait for a running store call.
    void stop();

    /// Returns the current configuration; null before the first one.
    [[nodiscard]] std::shared_ptr<const snapshot> current() const;
    /// Applies a stored configuration. Returns false, and changes nothing, if
    /// its revision isn't higher than the current one or it isn't valid.
    bool apply_if_newer(const stored_object& p_stored);
    /// Validates a document and writes it if the stored version is
    /// `p_expected_version`. Applies it and returns its revision.
    [[nodiscard]] tl::expected<config_revision, write_error>
    write(const std::string& p_document, std::uint64_t p_expected_version,
          const std::string& p_author);

private:
    void run();
    void read_store();
    /// Waits for a newer version in the store and applies it.
    void watch_store();
    /// Finds out whether a write took effect whose response was lost.
    [[nodiscard]] tl::expected<config_revision, write_error>
    resolve_write(const std::string& p_text, std::uint64_t p_expected_version);

    platform_client& store_;
    callbacks callbacks_;
    mutable std::mutex mutex_;
    snapshot_builder builder_;
    std::shared_ptr<const snapshot> current_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace peridotspar
