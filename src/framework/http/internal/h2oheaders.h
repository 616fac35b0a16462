#pragma once

// The headers of h2o, for the sources of this library only.

extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/http2.h>
}
