#pragma once

/// HTTP by h2o: the process's event loop, a server and a client on it.
///
/// Everything runs on the loop's one thread. No h2o type shows here, so that no other library
/// includes it.

#include "http/internal/address.h"
#include "http/internal/client.h"
#include "http/internal/eventloop.h"
#include "http/internal/message.h"
#include "http/internal/server.h"
#include "http/internal/tls.h"
