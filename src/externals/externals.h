#pragma once

/// The platform's services as the other libraries see them. Only this library knows their wire
/// formats; a test fills the structs with fakes.

#include "externals/internal/httpplatform.h"
#include "externals/internal/interfaces.h"
