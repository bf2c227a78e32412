#pragma once

#include <cstdint>
#include <string>

namespace peridotspar
{

inline bool contains(const std::string& p_text, const std::string& p_part)
{
    return p_text.find(p_part) != std::string::npos;
}

/// A response of the store, as text.
inline std::string json_response(const std::string& p_body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(p_body.size()) + "\r\n\r\n" + p_body;
}

/// The loopback address IP:PORT of a port.
inline std::string local(std::uint16_t p_port)
{
    return "127.0.0.1:" + std::to_string(p_port);
}

} // namespace peridotspar
