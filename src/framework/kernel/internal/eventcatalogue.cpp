#include "kernel/internal/events.h"

#include <algorithm>
#include <array>

namespace acaciasail::kernel {

namespace {

// clang-format off
constexpr std::array eventTable{
    EventInfo{ EventId::DaemonStarted, "DaemonStarted", EventLevel::Info,
        "The daemon listens; fields: its addresses, VM and data centre." },
    EventInfo{ EventId::DaemonStopped, "DaemonStopped", EventLevel::Info,
        "The daemon has ended in order." },
    EventInfo{ EventId::DrainStarted, "DrainStarted", EventLevel::Info,
        "A graceful shutdown began." },
    EventInfo{ EventId::DrainFinished, "DrainFinished", EventLevel::Info,
        "The last request in progress ended and the crashes seen were shared, or the operator's "
        "limit passed." },
    EventInfo{ EventId::SettingsRejected, "SettingsRejected", EventLevel::Error,
        "The settings hold a mistake." },
    EventInfo{ EventId::ListenerFailed, "ListenerFailed", EventLevel::Error,
        "An address can't be listened on." },
    EventInfo{ EventId::SettingsReloaded, "SettingsReloaded", EventLevel::Info,
        "The settings file was read again; fields: why, and what came of it." },
    EventInfo{ EventId::ReadinessChanged, "ReadinessChanged", EventLevel::Info,
        "The daemon tells the balancer something else than before; fields: ready, why." },
    EventInfo{ EventId::LogLinesDropped, "LogLinesDropped", EventLevel::Warn,
        "Lines were dropped because the log's reader is slow; fields: number." },
    EventInfo{ EventId::CallersClosed, "CallersClosed", EventLevel::Warn,
        "Callers' connections were closed, or requests refused before they had arrived whole, in the "
        "last second; fields: for_memory, for_room, for_time, as_gone, heads_refused, "
        "bodies_refused, held_bytes, connections." },
    EventInfo{ EventId::RequestReceived, "RequestReceived", EventLevel::Debug,
        "A caller's request was read and checked." },
    EventInfo{ EventId::RequestRefused, "RequestRefused", EventLevel::Info,
        "A request was refused; fields: code, run state, reason." },
    EventInfo{ EventId::RequestFinished, "RequestFinished", EventLevel::Info,
        "A request ended; fields: version, upstream, tokens, cost, times." },
    EventInfo{ EventId::CallerGone, "CallerGone", EventLevel::Info,
        "The caller went away before the end of the answer." },
    EventInfo{ EventId::AdmissionDecided, "AdmissionDecided", EventLevel::Info,
        "Admission admitted, queued or refused a request, and why." },
    EventInfo{ EventId::LimitGranted, "LimitGranted", EventLevel::Debug,
        "A share of a limit was granted to or by another daemon." },
    EventInfo{ EventId::VersionChosen, "VersionChosen", EventLevel::Info,
        "Routing chose a version, and why." },
    EventInfo{ EventId::UpstreamChosen, "UpstreamChosen", EventLevel::Info,
        "Routing chose an upstream, and why." },
    EventInfo{ EventId::CascadeEscalated, "CascadeEscalated", EventLevel::Info,
        "A cheap answer was not good enough; the dear version follows." },
    EventInfo{ EventId::RolloutHalted, "RolloutHalted", EventLevel::Warn,
        "A roll-out was halted; fields: the test and its evidence." },
    EventInfo{ EventId::RolloutAdvanced, "RolloutAdvanced", EventLevel::Info,
        "A roll-out ended or changed its exposure." },
    EventInfo{ EventId::SessionPinned, "SessionPinned", EventLevel::Debug,
        "A session was bound to a version." },
    EventInfo{ EventId::SessionRebound, "SessionRebound", EventLevel::Info,
        "A session's version was withdrawn; it continues on another." },
    EventInfo{ EventId::CascadeAbandoned, "CascadeAbandoned", EventLevel::Info,
        "A larger model gave no response in time, so the kept response of the smaller one is passed "
        "on; fields: request, asked, kept, reason." },
    EventInfo{ EventId::UpstreamEjected, "UpstreamEjected", EventLevel::Warn,
        "An upstream was taken out for its failures." },
    EventInfo{ EventId::UpstreamReturned, "UpstreamReturned", EventLevel::Info,
        "An ejected upstream takes work again." },
    EventInfo{ EventId::UpstreamLeaving, "UpstreamLeaving", EventLevel::Info,
        "An upstream is leaving and gets no new work." },
    EventInfo{ EventId::AttemptFailed, "AttemptFailed", EventLevel::Info,
        "An attempt at an upstream failed; fields: code, run state, what follows." },
    EventInfo{ EventId::StreamResumed, "StreamResumed", EventLevel::Info,
        "A cut stream goes on at another upstream." },
    EventInfo{ EventId::PoisonSuspected, "PoisonSuspected", EventLevel::Warn,
        "An upstream crashed while running a request; fields: request, fingerprint, crashes so far." },
    EventInfo{ EventId::PoisonRefused, "PoisonRefused", EventLevel::Warn,
        "A request is refused because it, or a part of its prompt, crashed upstreams; fields: fingerprint, crashes, own ones, prompt_part." },
    EventInfo{ EventId::PoisonReported, "PoisonReported", EventLevel::Info,
        "Another daemon told of crashed runs; fields: from whom, its requests, how many are refused now." },
    EventInfo{ EventId::UpstreamRests, "UpstreamRests", EventLevel::Info,
        "An upstream that turned a request away wants none for a while; fields: upstream, rest_ms." },
    EventInfo{ EventId::UpstreamLimited, "UpstreamLimited", EventLevel::Info,
        "An upstream's rate limit, or this router's pace at it, changed; fields: upstream, change, per_second, pace_per_second, routers, lease." },
    EventInfo{ EventId::CrashReportNotSent, "CrashReportNotSent", EventLevel::Warn,
        "A report of crashes could not be sent to another router directly; fields: to, status, detail, tries_left." },
    EventInfo{ EventId::PromptPartBlamed, "PromptPartBlamed", EventLevel::Warn,
        "A part of prompts is found to crash upstreams, or no longer; fields: service, part, blamed, crashes, requests, completed_ms (Unix), crashed_upstreams." },
    EventInfo{ EventId::UpstreamCold, "UpstreamCold", EventLevel::Info,
        "An upstream may be cold and gets few requests; fields: upstream, data_centre, cold_ms, requests per second "
        "that it bears from all routers." },
    EventInfo{ EventId::RowApplied, "RowApplied", EventLevel::Info,
        "A row came into force; fields: key, revision, from whom." },
    EventInfo{ EventId::RowRejected, "RowRejected", EventLevel::Warn,
        "An invalid row was isolated; the last good one stays in force." },
    EventInfo{ EventId::TableLoaded, "TableLoaded", EventLevel::Info,
        "The whole table was loaded; fields: from where, rows." },
    EventInfo{ EventId::EditAccepted, "EditAccepted", EventLevel::Info,
        "An operator's edit was written." },
    EventInfo{ EventId::EditConflict, "EditConflict", EventLevel::Info,
        "An operator's edit met a newer revision." },
    EventInfo{ EventId::WatchBroken, "WatchBroken", EventLevel::Warn,
        "A watch on the store ended and is begun again." },
    EventInfo{ EventId::DigestRepaired, "DigestRepaired", EventLevel::Info,
        "Missing rows came from a peer after their digests differed." },
    EventInfo{ EventId::StoreDown, "StoreDown", EventLevel::Warn,
        "The platform's store does not answer." },
    EventInfo{ EventId::StoreUp, "StoreUp", EventLevel::Info,
        "The platform's store answers again." },
    EventInfo{ EventId::StoreCallFailed, "StoreCallFailed", EventLevel::Warn,
        "A call to the store failed; fields: kind of object, code, status, how long it took." },
    EventInfo{ EventId::ObjectIgnored, "ObjectIgnored", EventLevel::Warn,
        "An object of the store can't be used; fields: kind, name, why. What was known before stays." },
    EventInfo{ EventId::ObjectsListed, "ObjectsListed", EventLevel::Info,
        "All objects of a kind were read at once; fields: kind, why, their number, the revision known before and "
        "the one read, age of what was known before." },
    EventInfo{ EventId::StoreSourceChanged, "StoreSourceChanged", EventLevel::Info,
        "The store's objects are read from another source; fields: source, which is a relay's VM or \"store\"." },
    EventInfo{ EventId::RelayFailed, "RelayFailed", EventLevel::Warn,
        "A relay didn't answer or refused, and is not asked for a while; fields: router, kind, detail." },
    EventInfo{ EventId::StoreRestored, "StoreRestored", EventLevel::Warn,
        "The store was restored from an older copy and has lost the newest writes; fields: epoch before and now." },
    EventInfo{ EventId::KnownStatesHeld, "KnownStatesHeld", EventLevel::Info,
        "A restored store lacks newer states that are known, which stay in force until they are written again, or for "
        "a limited time; fields: kind, epoch, objects that are kept so from now on." },
    EventInfo{ EventId::ListIncomplete, "ListIncomplete", EventLevel::Warn,
        "A list of the store's objects could not be read to its end, as its pages didn't go on. What was known of the "
        "others stays, and it is read again after 10 s; fields: kind, pages, objects read." },
    EventInfo{ EventId::ConfigurationApplied, "ConfigurationApplied", EventLevel::Info,
        "A configuration is in force, or was older than the one in force; fields: number, revision." },
    EventInfo{ EventId::UpstreamRegistration, "UpstreamRegistration", EventLevel::Info,
        "What is known of an upstream changed; fields: upstream, change, service, version, draining." },
    EventInfo{ EventId::UpstreamsListed, "UpstreamsListed", EventLevel::Info,
        "All registrations were read at once; fields: their number. What they change is logged before." },
    EventInfo{ EventId::EvacuationChanged, "EvacuationChanged", EventLevel::Info,
        "An evacuation of a data centre began or ended; fields: data_centre, evacuated." },
    EventInfo{ EventId::PeerJoined, "PeerJoined", EventLevel::Info,
        "A peer became known." },
    EventInfo{ EventId::PeerSuspected, "PeerSuspected", EventLevel::Info,
        "A peer did not answer its probes." },
    EventInfo{ EventId::PeerFailed, "PeerFailed", EventLevel::Warn,
        "A suspected peer did not refute in time." },
    EventInfo{ EventId::PeerLeft, "PeerLeft", EventLevel::Info,
        "A peer announced that it is leaving." },
    EventInfo{ EventId::PeerRefuted, "PeerRefuted", EventLevel::Info,
        "A suspected peer is alive." },
    EventInfo{ EventId::FindingsTooLarge, "FindingsTooLarge", EventLevel::Warn,
        "Shared findings exceed their size limit and are not sent; field: topic." },
    EventInfo{ EventId::DataCentreUnreachable, "DataCentreUnreachable", EventLevel::Warn,
        "No watcher of another data centre answers, directly or through others." },
    EventInfo{ EventId::DataCentreReachable, "DataCentreReachable", EventLevel::Info,
        "Another data centre answers again." },
    EventInfo{ EventId::BillHeld, "BillHeld", EventLevel::Debug,
        "A bill record is held by another VM or the store." },
    EventInfo{ EventId::BillsFlushed, "BillsFlushed", EventLevel::Info,
        "A batch of bill records was written to the store." },
    EventInfo{ EventId::BillUnheld, "BillUnheld", EventLevel::Error,
        "A bill record could not be secured." },
    EventInfo{ EventId::ClaimGranted, "ClaimGranted", EventLevel::Info,
        "The claim on an idempotency key was granted." },
    EventInfo{ EventId::ClaimRefused, "ClaimRefused", EventLevel::Info,
        "The claim on an idempotency key was refused, and why." },
    EventInfo{ EventId::ClaimRangeTaken, "ClaimRangeTaken", EventLevel::Info,
        "This VM became the owner of a range of keys." },
    EventInfo{ EventId::ClaimRangeLost, "ClaimRangeLost", EventLevel::Warn,
        "This VM is no longer the owner of a range of keys." },
    EventInfo{ EventId::LedgerNearlyFull, "LedgerNearlyFull", EventLevel::Warn,
        "The memory for unflushed records is nearly full." },
};
// clang-format on

} // namespace

std::span<const EventInfo> eventCatalogue()
{
    return eventTable;
}

const EventInfo &describe(EventId id)
{
    const auto found = std::ranges::lower_bound(eventTable, id, {}, &EventInfo::id);
    return found != eventTable.end() ? *found : eventTable.back();
}

} // namespace acaciasail::kernel
