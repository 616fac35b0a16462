#include "routing/internal/facts.h"

namespace acaciasail::routing {

std::string_view toString(VersionReason reason)
{
    switch (reason) {
    case VersionReason::SessionPin:
        return "session_pin";
    case VersionReason::LowestCost:
        return "lowest_cost";
    case VersionReason::Cascade:
        return "cascade";
    case VersionReason::OnlyVersion:
        return "only_version";
    case VersionReason::BestQuality:
        return "best_quality";
    case VersionReason::Exploration:
        return "exploration";
    case VersionReason::RatingsMissing:
        return "ratings_missing";
    case VersionReason::PinWithdrawn:
        return "pin_withdrawn";
    case VersionReason::PinNotAllowed:
        return "pin_not_allowed";
    case VersionReason::PinRolledBack:
        return "pin_rolled_back";
    case VersionReason::PinStale:
        return "pin_stale";
    case VersionReason::PinUnavailable:
        return "pin_unavailable";
    case VersionReason::PinOtherModel:
        return "pin_other_model";
    case VersionReason::Refused:
        break;
    }
    return "refused";
}

double costOf(const table::VersionRow &version, kernel::Tokens input, kernel::Tokens output)
{
    // Prices are per million tokens.
    constexpr double tokensPerPriceUnit = 1e6;
    const auto inputCost
        = static_cast<double>(input.count()) * static_cast<double>(version.inputPrice.count());
    const auto outputCost
        = static_cast<double>(output.count()) * static_cast<double>(version.outputPrice.count());
    return (inputCost + outputCost) / tokensPerPriceUnit;
}

} // namespace acaciasail::routing
