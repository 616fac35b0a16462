#pragma once

namespace acaciasail::http {

/// Makes the system end a connection whose peer answers nothing for about three seconds, and sends
/// small pieces at once.
void setConnectionTimeouts(int fd);

/// Bounds the bytes that the system holds for a connection until they are read, and so the bytes
/// that come with one read.
void limitReceiveBuffer(int fd);

/// Makes the close of a connection a reset: bytes that the peer has not got yet are dropped.
void resetOnClose(int fd);

} // namespace acaciasail::http
