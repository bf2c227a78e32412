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

/// Keeps the configuration in force: reads it from the store or from peers,
/// applies only higher revisions, and writes what operators send.
class config_manager
{
public:
    struct callbacks
    {
        std::function<void(std::shared_ptr<const snapshot>)> on_change_;
        /// Whether this node is one of the few that watch the store.
        std::function<bool()> is_reader_;
        /// A higher revision that some peer has, as (revision, text).
        std::function<std::optional<stored_object>(config_revision)>
            fetch_from_peer_;
    };
    /// Why a document was not written.
    struct write_error
    {
        enum class kind : std::uint8_t
        {
            invalid,     ///< `errors_` tells what is wrong.
            conflict,    ///< `current_` is the version to start from.
            unavailable, ///< Nothing was written.
            unknown,     ///< Whether it was written could not be found out.
        };
        kind kind_ = kind::unavailable;
        std::vector<document_error> errors_;
        std::uint64_t current_version_ = 0;
    };

    config_manager(platform_client& r_store, callbacks p_callbacks);
    ~config_manager();
    config_manager(const config_manager&) = delete;
    config_manager& operator=(const config_manager&) = delete;

    void start();
    void stop();

    /// The configuration in force; null before the first one.
    [[nodiscard]] std::shared_ptr<const snapshot> current() const;
    /// Takes a revision from anywhere; false if it isn't higher or not valid.
    bool apply_if_newer(const stored_object& p_stored);
    /// Checks a document and writes it if the store's version is
    /// `p_expected`. Returns the new revision.
    [[nodiscard]] tl::expected<config_revision, write_error>
    write(const std::string& p_document, std::uint64_t p_expected_version,
          const std::string& p_author);

private:
    void run();
    void read_store();
    void watch_store();
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
