#pragma once

/// Requests that crash each upstream that runs them, and come again: the evidence against them,
/// which daemons collect and join.

#include "poison/internal/poisonbook.h"
