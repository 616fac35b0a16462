#include "ctl/texttable.h"

#include <algorithm>

namespace acaciasail::ctl {

void printTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line.append(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

} // namespace acaciasail::ctl
