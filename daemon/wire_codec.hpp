#pragma once

#include "daemon/snapshot.hpp"
#include "membership/node_table.hpp"
#include "policy/events.hpp"
#include "transport/gen/peer_types.h"

#include <memory>
#include <string>
#include <vector>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace peridotspar
{

/// Encodes a generated Thrift struct in the compact protocol.
template <class Message>
[[nodiscard]] std::string encode(const Message& p_message)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    p_message.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes a Thrift struct of the compact protocol. Returns false if the bytes
/// are malformed; `r_message` is then partly filled.
template <class Message>
[[nodiscard]] bool decode(const std::string& p_bytes, Message& r_message)
{
    try
    {
        auto buffer =
            std::make_shared<apache::thrift::transport::TMemoryBuffer>();
        buffer->write(reinterpret_cast<const std::uint8_t*>(p_bytes.data()),
                      static_cast<std::uint32_t>(p_bytes.size()));
        apache::thrift::protocol::TCompactProtocol protocol(buffer);
        r_message.read(&protocol);
        return true;
    }
    catch (const std::exception&)
    {
        return false;
    }
}

// Conversions between the types of the decision logic and those on the wire.
// Catalogue indexes may differ between nodes, so backend servers, pools and
// accounts are sent as hashes of their names. Both directions leave out what
// the snapshot doesn't contain, for instance while one node has an older
// configuration revision. `p_now` is the time of the clock that the decision
// logic uses.

[[nodiscard]] wire::digest to_wire(const policy::digest& p_digest,
                                   const snapshot& p_snapshot,
                                   time_point p_now);
[[nodiscard]] policy::digest from_wire(const wire::digest& p_digest,
                                       const node_id& p_sender,
                                       const snapshot& p_snapshot,
                                       time_point p_now);
[[nodiscard]] wire::heartbeat to_wire(const node_state& p_state);
[[nodiscard]] node_state from_wire(const wire::heartbeat& p_heartbeat);
[[nodiscard]] wire::cap_claims
to_wire(const std::vector<policy::cap_claim>& p_claims,
        const snapshot& p_snapshot);
[[nodiscard]] std::vector<policy::cap_claim>
from_wire(const wire::cap_claims& p_claims, const snapshot& p_snapshot);
[[nodiscard]] wire::cap_grants
to_wire(const std::vector<policy::cap_grant>& p_grants,
        const snapshot& p_snapshot);
[[nodiscard]] std::vector<policy::cap_grant>
from_wire(const wire::cap_grants& p_grants, const snapshot& p_snapshot);

} // namespace peridotspar
