#pragma once

#include <map>
#include <string>
#include <utility>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// A time that is seen again and again: its mean and its mean deviation, with decay.
struct UsualTime
{
    double seconds = 0;
    double deviation = 0;
    int seen = 0;
};

/// How long upstreams usually take, by route and model.
struct UsualTimes
{
    using Key = std::pair<RouteName, std::string>;
    std::map<Key, UsualTime> firstByte;
    std::map<Key, UsualTime> betweenEvents;
};

/// Takes in one time.
void noteTime(UsualTime &usual, kernel::Duration took);

/// Bounds of the patience with a silent upstream.
struct PatienceBounds
{
    kernel::Duration least{};
    kernel::Duration most{};
};

/// The time after which a silent upstream is taken as lost: well above what is usual, so that load
/// alone does not make requests move; the longest while nothing is known.
kernel::Duration patienceFor(const UsualTime *usual, const PatienceBounds &bounds);

/// The time for which an upstream may say nothing before the request goes elsewhere, if it may.
/// `midway` tells that the stream's first event has come.
kernel::Duration allowedSilence(const UsualTimes &usual, const Route &route,
                                const std::string &model, bool midway, kernel::Duration timeLeft);

} // namespace acaciasail::forwarding
