#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace acaciasail::ctl {

/// Prints rows in columns of equal width; the first row is the head.
void printTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows);

} // namespace acaciasail::ctl
