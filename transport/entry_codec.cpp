#include "transport/entry_codec.hpp"

#include <memory>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace peridotspar
{

namespace
{

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

template <class Message>
std::string to_bytes(const Message& p_message)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    p_message.write(&protocol);
    return buffer->getBufferAsString();
}

template <class Message>
std::optional<Message> from_bytes(std::string_view p_bytes)
{
    // TMemoryBuffer takes a mutable pointer, but only reads from it here.
    auto* begin = reinterpret_cast<std::uint8_t*>( // NOLINT
        const_cast<char*>(p_bytes.data()));
    const auto buffer = std::make_shared<TMemoryBuffer>(
        begin, static_cast<std::uint32_t>(p_bytes.size()));
    TCompactProtocol protocol(buffer);
    try
    {
        Message message;
        message.read(&protocol);
        return message;
    }
    catch (const std::exception&)
    {
        return std::nullopt; // The caller logs the malformed message.
    }
}

} // namespace

std::string encode(const entry_wire::digest& p_digest)
{
    return to_bytes(p_digest);
}

std::string encode(const entry_wire::beliefs& p_beliefs)
{
    return to_bytes(p_beliefs);
}

std::optional<entry_wire::digest> decode_digest(std::string_view p_bytes)
{
    return from_bytes<entry_wire::digest>(p_bytes);
}

std::optional<entry_wire::beliefs> decode_beliefs(std::string_view p_bytes)
{
    return from_bytes<entry_wire::beliefs>(p_bytes);
}

} // namespace peridotspar
