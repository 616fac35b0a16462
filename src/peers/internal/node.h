#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "kernel/kernel.h"
#include "peers/internal/codec.h"
#include "peers/internal/memberlist.h"
#include "peers/internal/options.h"
#include "peers/internal/overlay.h"
#include "wire/wire.h"

namespace acaciasail::peers {

/// Counts the messages and bytes of this library since the daemon started, without HTTP/2 framing.
struct Traffic
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/// State and services that the parts of the library share: the members, the dissemination tree, and
/// calls to peers.
class Node
{
public:
    Node(PeersOptions nodeOptions, const kernel::Scheduler &nodeScheduler,
         wire::Transport nodeTransport, kernel::Random nodeRandom);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    ~Node() = default;

    PeersOptions options;
    const kernel::Scheduler &scheduler;
    wire::Transport transport;
    kernel::Random random;
    MemberList members;
    /// Data centres that can't be reached from this one, directly or through another data centre.
    std::set<kernel::DataCentreId> unreachable;
    Traffic traffic;

    kernel::Instant now() const { return scheduler.now(); }
    /// Returns the current tree; the reference is valid until the members change.
    const Overlay &overlay();
    Neighbours neighbours() { return neighboursOf(overlay(), members.self().peer, options.fanOut); }
    /// Returns whether this daemon is the root of its data centre's tree.
    bool isRoot() { return rankOf(overlay(), members.self().peer) == 0U; }
    /// Returns whether a member is neither failed nor leaving nor in an unreachable data centre.
    bool isLive(const Member &member) const;

    /// Called when a data centre becomes reachable or unreachable.
    std::function<void(const kernel::DataCentreId &, bool reachable)> onReachability;
    /// Records whether a data centre can be reached. Returns whether that is a change.
    bool setReachable(const kernel::DataCentreId &dataCentre, bool reachable);

    /// Sends a message. The callback gets the parsed answer, or nullopt if the call failed. The
    /// callback isn't called after this object is destroyed.
    template<class Answer, class Message>
    void call(const kernel::Endpoint &to, const std::string &method, const Message &message,
              std::function<void(std::optional<Answer>)> callback)
    {
        call<Answer>(to, method, message, options.callTimeout, std::move(callback));
    }
    template<class Answer, class Message>
    void call(const kernel::Endpoint &to, const std::string &method, const Message &message,
              kernel::Duration timeout, std::function<void(std::optional<Answer>)> callback);

    /// Registers a handler, which gets parsed messages, for a method.
    template<class Message, class Handler>
    void serve(const std::string &method, Handler handler);

private:
    std::shared_ptr<bool> m_lifetimeToken = std::make_shared<bool>(true);
    Overlay m_overlay;
    std::uint64_t m_overlayVersion = 0;
    bool m_overlayValid = false;
};

template<class Answer, class Message>
void Node::call(const kernel::Endpoint &to, const std::string &method, const Message &message,
                kernel::Duration timeout, std::function<void(std::optional<Answer>)> callback)
{
    std::string payload = message.SerializeAsString();
    ++traffic.messagesSent;
    traffic.bytesSent += payload.size();
    auto receive
        = [this, token = std::weak_ptr<bool>(m_lifetimeToken),
           callback = std::move(callback)](const kernel::Completion<std::string> &completion) {
              if (token.expired())
                  return;
              if (!completion.ok()) {
                  callback(std::nullopt);
                  return;
              }
              traffic.bytesReceived += completion.value().size();
              callback(parse<Answer>(completion.value()));
          };
    transport.call(to, wire::Message{ method, std::move(payload) }, timeout, std::move(receive));
}

template<class Message, class Handler>
void Node::serve(const std::string &method, Handler handler)
{
    transport.handle(method, [this, token = std::weak_ptr<bool>(m_lifetimeToken),
                              handler](const kernel::Endpoint &, const wire::Message &message,
                                       const wire::Reply &reply) {
        if (token.expired()) {
            reply(kernel::Error{ kernel::ResultCode::PeerUnreachable,
                                 "the daemon is shutting down" });
            return;
        }
        ++traffic.messagesReceived;
        traffic.bytesReceived += message.payload.size();
        const std::optional<Message> parsed = parse<Message>(message.payload);
        if (!parsed) {
            reply(kernel::Error{ kernel::ResultCode::PeerProtocol,
                                 "message \"" + message.method + "\" can't be parsed" });
            return;
        }
        handler(*parsed, [this, reply](const auto &answer) {
            std::string payload = answer.SerializeAsString();
            traffic.bytesSent += payload.size();
            reply(std::move(payload));
        });
    });
}

} // namespace acaciasail::peers
