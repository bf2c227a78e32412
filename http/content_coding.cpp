#include "http/content_coding.hpp"

#include "http/message.hpp"

#include <array>
#include <new>

#include <zlib.h>

namespace peridotspar::http
{

namespace
{

constexpr std::size_t chunk_bytes = 65536;

/// zlib takes mutable bytes, but only reads them.
Bytef* input_of(std::string_view p_bytes)
{
    return reinterpret_cast<Bytef*>(        // NOLINT
        const_cast<char*>(p_bytes.data())); // NOLINT
}

Bytef* output_of(char* p_bytes)
{
    return reinterpret_cast<Bytef*>(p_bytes); // NOLINT
}

/// A decompression in progress.
struct inflate_stream : z_stream
{
    explicit inflate_stream(std::string_view p_bytes) : z_stream{}
    {
        next_in = input_of(p_bytes);
        avail_in = static_cast<uInt>(p_bytes.size());
        if (inflateInit(this) != Z_OK)
        {
            throw std::bad_alloc();
        }
    }
    ~inflate_stream() { inflateEnd(this); }
    inflate_stream(const inflate_stream&) = delete;
    inflate_stream& operator=(const inflate_stream&) = delete;
};

std::string_view trim(std::string_view p_text)
{
    const auto first = p_text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
    {
        return {};
    }
    return p_text.substr(first, p_text.find_last_not_of(" \t") - first + 1);
}

} // namespace

bool accepts_deflate(std::string_view p_accept_encoding)
{
    while (!p_accept_encoding.empty())
    {
        const auto end = p_accept_encoding.find(',');
        const auto item = p_accept_encoding.substr(0, end);
        if (iequals(trim(item.substr(0, item.find(';'))), deflate_coding))
        {
            return true;
        }
        p_accept_encoding = end == std::string_view::npos
                                ? std::string_view{}
                                : p_accept_encoding.substr(end + 1);
    }
    return false;
}

std::string deflate(std::string_view p_body)
{
    uLongf size = compressBound(static_cast<uLong>(p_body.size()));
    std::string result(size, '\0');
    const int status =
        compress2(output_of(result.data()), &size, input_of(p_body),
                  static_cast<uLong>(p_body.size()), Z_BEST_SPEED);
    if (status != Z_OK)
    {
        throw std::bad_alloc(); // The only error with a buffer of this size.
    }
    result.resize(size);
    result.shrink_to_fit();
    return result;
}

tl::expected<std::string, std::string> inflate(std::string_view p_bytes,
                                               std::size_t p_max_bytes)
{
    inflate_stream stream(p_bytes);
    std::string result;
    std::array<char, chunk_bytes> chunk{};
    int status = Z_OK;
    while (status == Z_OK)
    {
        stream.next_out = output_of(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        status = ::inflate(&stream, Z_NO_FLUSH);
        result.append(chunk.data(), chunk.size() - stream.avail_out);
        if (result.size() > p_max_bytes)
        {
            return tl::unexpected(std::string("the body is too large"));
        }
    }
    if (status != Z_STREAM_END)
    {
        return tl::unexpected(std::string("the bytes are invalid or cut off"));
    }
    return result;
}

} // namespace peridotspar::http
