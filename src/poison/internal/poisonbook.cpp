#include "poison/internal/poisonbook.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

namespace acaciasail::poison {

namespace {

using Json = nlohmann::json;
using kernel::WallTime;

std::int64_t toMicroseconds(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime fromMicroseconds(std::int64_t count)
{
    return WallTime(kernel::Duration(count));
}

/// Returns the time of the newest evidence: the last crash or the last completion.
WallTime newestEvidenceTime(const PoisonEvidence &evidence)
{
    WallTime time = evidence.completedAt.value_or(WallTime{});
    for (const auto &[upstream, times] : evidence.crashTimes) {
        if (!times.empty())
            time = std::max(time, *times.rbegin());
    }
    return time;
}

/// Returns the number of crashes of one upstream after `clearedAt`, the time at which the request
/// last completed. Crash times within `crashWindow` of each other count as one crash.
int countCrashesAfter(const std::set<WallTime> &times, std::optional<WallTime> clearedAt)
{
    int crashes = 0;
    std::optional<WallTime> crashStartedAt;
    for (const WallTime time : times) {
        if (clearedAt && time <= *clearedAt)
            continue;
        if (!crashStartedAt || time - *crashStartedAt > crashWindow) {
            crashStartedAt = time;
            ++crashes;
        }
    }
    return crashes;
}

using Entry = std::pair<const Fingerprint, PoisonEvidence>;

// Returns the entries in order of importance. Refused requests come first, because a router that
// forgets one lets it crash upstreams again.
std::vector<const Entry *> mostImportantFirst(const PoisonEvidenceSet &book)
{
    struct Rank
    {
        bool refused = false;
        WallTime newestEvidenceTime;
        const Entry *entry = nullptr;
    };
    std::vector<Rank> ranks;
    ranks.reserve(book.evidence.size());
    for (const auto &entry : book.evidence) {
        const bool refused = unclearedCrashes(entry.second) >= poisonCrashThreshold;
        ranks.push_back({ refused, newestEvidenceTime(entry.second), &entry });
    }
    const auto moreImportant = [](const Rank &a, const Rank &b) {
        return std::tie(b.refused, b.newestEvidenceTime, a.entry->first)
               < std::tie(a.refused, a.newestEvidenceTime, b.entry->first);
    };
    std::ranges::sort(ranks, moreImportant);
    // At most half of the capacity is reserved for refused requests. The other half remains for
    // newly suspected requests.
    for (std::size_t i = book.capacity / 2; i < ranks.size(); ++i)
        ranks[i].refused = false;
    std::ranges::sort(ranks, moreImportant);
    std::vector<const Entry *> entries;
    entries.reserve(ranks.size());
    for (const Rank &rank : ranks)
        entries.push_back(rank.entry);
    return entries;
}

void limitSize(PoisonEvidenceSet &book)
{
    if (book.evidence.size() <= book.capacity)
        return;
    std::vector<Fingerprint> surplus;
    const auto entries = mostImportantFirst(book);
    for (std::size_t i = book.capacity; i < entries.size(); ++i)
        surplus.push_back(entries[i]->first);
    for (const Fingerprint &fingerprint : surplus)
        book.evidence.erase(fingerprint);
}

bool mergeEvidence(PoisonEvidence &evidence, const PoisonEvidence &other)
{
    bool changed = false;
    for (const auto &[upstream, times] : other.crashTimes) {
        auto &knownTimes = evidence.crashTimes[upstream];
        for (const WallTime time : times)
            changed |= knownTimes.insert(time).second;
    }
    if (other.completedAt
        && (!evidence.completedAt || *evidence.completedAt < *other.completedAt)) {
        evidence.completedAt = other.completedAt;
        changed = true;
    }
    return changed;
}

PoisonEvidence evidenceFromJson(const Json &json)
{
    PoisonEvidence evidence;
    for (const auto &[upstream, times] : json.at("s").items()) {
        for (const Json &time : times) {
            evidence.crashTimes[kernel::UpstreamId(upstream)].insert(
                fromMicroseconds(time.get<std::int64_t>()));
        }
    }
    if (json.contains("c"))
        evidence.completedAt = fromMicroseconds(json.at("c").get<std::int64_t>());
    return evidence;
}

} // namespace

Fingerprint makeFingerprint(const kernel::WorkspaceId &workspace, std::string_view path,
                            std::string_view body)
{
    std::string text = workspace.str();
    text += '\n';
    text += path;
    text += '\n';
    text += body;
    constexpr std::uint64_t secondSeed = 0x9e3779b97f4a7c15ULL;
    return Fingerprint(std::to_string(kernel::hash64(text)) + "-"
                       + std::to_string(kernel::hash64(text, secondSeed)));
}

void recordCrash(PoisonEvidenceSet &book, const Fingerprint &fingerprint,
                 const kernel::UpstreamId &upstream, WallTime at)
{
    book.evidence[fingerprint].crashTimes[upstream].insert(at);
    limitSize(book);
}

void recordCompletion(PoisonEvidenceSet &book, const Fingerprint &fingerprint, WallTime at)
{
    const auto found = book.evidence.find(fingerprint);
    if (found == book.evidence.end())
        return;
    auto &completedAt = found->second.completedAt;
    completedAt = std::max(completedAt.value_or(at), at);
}

bool dropCrashes(PoisonEvidenceSet &book, const kernel::UpstreamId &upstream, WallTime until)
{
    bool dropped = false;
    for (auto &[fingerprint, evidence] : book.evidence) {
        const auto crashes = evidence.crashTimes.find(upstream);
        if (crashes == evidence.crashTimes.end())
            continue;
        const auto count = std::erase_if(crashes->second,
                                         [until](const WallTime time) { return time <= until; });
        dropped = dropped || count > 0;
        if (crashes->second.empty())
            evidence.crashTimes.erase(crashes);
    }
    return dropped;
}

int unclearedCrashes(const PoisonEvidenceSet &book, const Fingerprint &fingerprint)
{
    const auto found = book.evidence.find(fingerprint);
    if (found == book.evidence.end())
        return 0;
    return unclearedCrashes(found->second);
}

int unclearedCrashes(const PoisonEvidence &evidence)
{
    int count = 0;
    for (const auto &[upstream, times] : evidence.crashTimes)
        count += countCrashesAfter(times, evidence.completedAt);
    return count;
}

void expire(PoisonEvidenceSet &book, WallTime now)
{
    std::erase_if(book.evidence, [now](const auto &entry) {
        return now - newestEvidenceTime(entry.second) > evidenceLifetime;
    });
    limitSize(book);
}

PoisonEvidenceSet mostImportantEvidence(const PoisonEvidenceSet &book, std::size_t maxRequests)
{
    PoisonEvidenceSet result;
    for (const Entry *entry : mostImportantFirst(book)) {
        if (result.evidence.size() >= maxRequests)
            break;
        result.evidence.insert(*entry);
    }
    return result;
}

std::string encode(const PoisonEvidenceSet &book, std::size_t maxRequests)
{
    Json document = Json::object();
    for (const auto &[fingerprint, found] : mostImportantEvidence(book, maxRequests).evidence) {
        Json crashTimes = Json::object();
        for (const auto &[upstream, times] : found.crashTimes) {
            Json list = Json::array();
            for (const WallTime time : times)
                list.push_back(toMicroseconds(time));
            crashTimes[upstream.str()] = std::move(list);
        }
        Json evidence = { { "s", std::move(crashTimes) } };
        if (found.completedAt)
            evidence["c"] = toMicroseconds(*found.completedAt);
        document[fingerprint.str()] = std::move(evidence);
    }
    std::string bytes;
    Json::to_cbor(document, bytes);
    return bytes;
}

kernel::Result<bool> merge(PoisonEvidenceSet &book, std::string_view bytes)
{
    PoisonEvidenceSet received;
    try {
        const Json document = Json::from_cbor(bytes.begin(), bytes.end());
        for (const auto &[fingerprint, evidence] : document.items())
            received.evidence[Fingerprint(fingerprint)] = evidenceFromJson(evidence);
    } catch (const Json::exception &) {
        return kernel::fail(kernel::ResultCode::PeerProtocol, "poison evidence is malformed");
    }
    return merge(book, received);
}

bool merge(PoisonEvidenceSet &book, const PoisonEvidenceSet &other)
{
    bool changed = false;
    for (const auto &[fingerprint, evidence] : other.evidence)
        changed |= mergeEvidence(book.evidence[fingerprint], evidence);
    limitSize(book);
    return changed;
}

} // namespace acaciasail::poison
