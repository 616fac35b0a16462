#pragma once

// The headers of h2o, for the sources of this library only.

extern "C" {
#include <h2o.h>
}
