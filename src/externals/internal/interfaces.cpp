#include "externals/internal/interfaces.h"
