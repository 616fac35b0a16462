#pragma once

/// Reading of JSON that others wrote: typed members with the first error, and texts of which a part
/// can't be parsed.

#include "json/internal/fieldreader.h"
#include "json/internal/jsontext.h"
