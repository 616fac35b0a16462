#pragma once

#include <functional>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::wire {

/// One message to a peer: the method tells the receiving library what the payload is.
struct Message
{
    std::string method;
    std::string payload;
};

/// Sends the answer to a received message; called once, now or later.
using Reply = std::function<void(kernel::Completion<std::string>)>;

/// Handles one received message. `from` is the peer's address as the connection shows it.
using MessageHandler
    = std::function<void(const kernel::Endpoint &from, const Message &message, Reply reply)>;

/// Sending to peers, as the libraries see it; a test fills it with a fake.
struct Transport
{
    /// Sends a message and gives the peer's answer.
    /// Errors: PeerUnreachable (not delivered), BodyTooLarge (not delivered), PeerTimeout and
    /// PeerBroken (unknown), PeerProtocol, and the peer's own.
    std::function<void(const kernel::Endpoint &to, Message message, kernel::Duration timeout,
                       kernel::Callback<std::string> callback)>
        call;
    /// Routes received messages of a method to a handler; a second call replaces the first.
    std::function<void(const std::string &method, MessageHandler handler)> handle;
};

/// Another daemon, as its users need it.
struct Peer
{
    kernel::VmId id;
    kernel::DataCentreId dataCentre;
    kernel::Endpoint endpoint;
};

/// Who this daemon is, and which others it takes for alive.
struct PeersView
{
    Peer self;
    /// Peers that are neither failed nor leaving, in order of id; without this daemon.
    std::function<std::vector<Peer>()> live;
};

} // namespace acaciasail::wire
