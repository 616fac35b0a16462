#pragma once

#include <functional>
#include <string>

#include "http/internal/h2oheaders.h"

namespace acaciasail::http {

/// Replaces the bodies of the errors that h2o answers by itself on a path.
void addErrorFilter(h2o_pathconf_t *path, std::function<std::string(int status)> body,
                    std::string contentType);

} // namespace acaciasail::http
