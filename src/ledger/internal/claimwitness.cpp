#include "ledger/internal/claimwitness.h"

#include <algorithm>

namespace acaciasail::ledger {

void mergeEntries(ClaimEntries &entries, const ClaimEntries &others)
{
    for (const auto &[key, entry] : others) {
        const auto [found, added] = entries.emplace(key, entry);
        if (!added && found->second.version < entry.version)
            found->second = entry;
    }
}

bool takeClaims(WitnessBook &book, const WitnessRequest &request)
{
    WitnessedRange &range = book.ranges[request.range];
    if (request.id.epoch <= range.closedEpoch)
        return false;
    const auto term = range.terms.find(request.id);
    if (request.install) {
        WitnessedTerm &begun = range.terms[request.id];
        begun.owner = request.owner;
        mergeEntries(begun.entries, request.entries);
        return true;
    }
    if (term == range.terms.end())
        return false;
    mergeEntries(term->second.entries, request.entries);
    // Only the owner in force adds claims, so the terms before its own have ended.
    range.closedEpoch = request.id.epoch - 1;
    std::erase_if(range.terms,
                  [&range](const auto &entry) { return entry.first.epoch <= range.closedEpoch; });
    return true;
}

std::optional<ClaimEntries> denyTerm(WitnessBook &book, const DenyRequest &request)
{
    WitnessedRange &range = book.ranges[request.range];
    range.closedEpoch = std::max(range.closedEpoch, request.id.epoch);
    const auto term = range.terms.find(request.id);
    if (term == range.terms.end())
        return std::nullopt;
    term->second.denied = true;
    return term->second.entries;
}

void forgetClaims(WitnessBook &book, kernel::WallTime before)
{
    for (auto &[number, range] : book.ranges) {
        for (auto &[id, term] : range.terms) {
            std::erase_if(term.entries,
                          [before](const auto &entry) { return entry.second.at < before; });
        }
    }
}

} // namespace acaciasail::ledger
