#pragma once

#include <optional>
#include <string>

#include <peers.pb.h>

#include "peers/internal/member.h"
#include "peers/internal/rows.h"

namespace acaciasail::peers {

/// Writes a member record into its protobuf message.
void encode(const Member &member, proto::Member &message);
/// Reads a member record from its protobuf message. A state that only a later release knows is
/// read as failed.
Member decode(const proto::Member &message);

/// Writes a row into its protobuf message.
void encode(const RowUpdate &row, proto::Row &message);
/// Reads a row from its protobuf message.
RowUpdate decode(const proto::Row &message);

/// Parses a protobuf message. Returns nullopt if the bytes aren't a valid message.
template<class Message>
std::optional<Message> parse(const std::string &bytes)
{
    Message message;
    if (!message.ParseFromString(bytes))
        return std::nullopt;
    return message;
}

} // namespace acaciasail::peers
