#pragma once

/// Checked settings from a TOML file: every mistake is reported with its file, line and key, and
/// a key that nobody asked for is a mistake.

#include "settings/internal/reader.h"
