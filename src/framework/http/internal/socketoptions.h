#pragma once

namespace acaciasail::http {

/// Makes the system end a connection whose peer answers nothing for about three seconds, and sends
/// small pieces at once.
void setConnectionTimeouts(int fd);

/// The same for a caller's connection, but without the timeout of unacknowledged bytes, which also
/// ends peers that acknowledge probes while their receive window is full. isPeerGone() finds a peer
/// that is gone while bytes wait for it.
void setCallerTimeouts(int fd);

/// Whether bytes wait for the peer and nothing has come from it for about three seconds, although
/// several retransmissions or zero-window probes were sent.
bool isPeerGone(int fd);

/// Whether both directions of a connection are closed, as after a reset. After the peer's orderly
/// end alone the own direction is open.
bool isClosedBothWays(int fd);

/// Bounds what the system holds for a caller's connection in both directions.
void limitCallerBuffers(int fd);

/// Bounds the bytes that the system holds for a connection until they are read, and so the bytes
/// that come with one read.
void limitReceiveBuffer(int fd);

/// Resets a connection at once; the descriptor stays open.
void resetNow(int fd);

/// Makes the close of a connection a reset: bytes that the peer has not got yet are dropped.
void resetOnClose(int fd);

} // namespace acaciasail::http
