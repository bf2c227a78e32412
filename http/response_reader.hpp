#pragma once

#include "http/message.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspar::http
{

/// Reads the answers on one connection to a server. Not for several threads.
class response_reader
{
public:
    response_reader();
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    /// Expects one answer. `p_without_body`: the request was a HEAD.
    void begin(bool p_is_head_request);

    /// Adds bytes that were received; false when they are no answer.
    [[nodiscard]] bool feed(std::string_view p_bytes);
    /// The server closed its side; false when the answer is cut short.
    [[nodiscard]] bool feed_eof();

    /// The head, once it is whole; interim answers (1xx) are passed over.
    [[nodiscard]] const std::optional<response_head>& head() const
    {
        return head_;
    }
    /// The body's bytes that came since the last call.
    [[nodiscard]] std::string take_body();
    [[nodiscard]] bool is_complete() const;
    /// Bytes beyond the answer.
    [[nodiscard]] bool has_excess() const { return !buffer_.empty(); }
    /// Makes the bytes beyond an answer the begin of the next one.
    [[nodiscard]] bool begin_next();

private:
    struct parser_state;

    [[nodiscard]] bool parse();
    void store_head();

    std::unique_ptr<parser_state> state_;
    std::optional<response_head> head_;
    std::string buffer_;
    bool is_head_request_ = false;
};

} // namespace peridotspar::http
