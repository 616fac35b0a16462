#pragma once

/// Messages between the system's own processes, as nghttp2 streams on the process's loop.

#include "wire/internal/http2transport.h"
#include "wire/internal/transport.h"
