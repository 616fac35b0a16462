#pragma once

/// Counters, gauges and histograms of a process, in the Prometheus text format.

#include "metrics/internal/registry.h"
