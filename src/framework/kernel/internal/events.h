#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kernel/internal/ids.h"
#include "kernel/internal/units.h"

namespace acaciasail::kernel {

/// The numbered events of the log; docs/EVENTS.md is their catalogue.
enum class EventId : std::uint16_t {
    DaemonStarted = 1001,
    DaemonStopped = 1002,
    DrainStarted = 1003,
    DrainFinished = 1004,
    SettingsRejected = 1005,
    ListenerFailed = 1006,
    SettingsReloaded = 1007,
    ReadinessChanged = 1008,
    LogLinesDropped = 1009,
    CallersClosed = 1010,
    RequestReceived = 2001,
    RequestRefused = 2002,
    RequestFinished = 2003,
    CallerGone = 2004,
    AdmissionDecided = 3001,
    LimitGranted = 3002,
    VersionChosen = 3101,
    UpstreamChosen = 3102,
    CascadeEscalated = 3103,
    RolloutHalted = 3104,
    RolloutAdvanced = 3105,
    SessionPinned = 3106,
    CascadeAbandoned = 3108,
    SessionRebound = 3107,
    UpstreamEjected = 3201,
    UpstreamReturned = 3202,
    UpstreamLeaving = 3203,
    AttemptFailed = 3204,
    StreamResumed = 3205,
    PoisonSuspected = 3206,
    PoisonRefused = 3207,
    PoisonReported = 3208,
    UpstreamRests = 3209,
    UpstreamLimited = 3210,
    CrashReportNotSent = 3211,
    PromptPartBlamed = 3212,
    UpstreamCold = 3213,
    CrashDisproved = 3214,
    PromptPartTried = 3215,
    RowApplied = 4001,
    RowRejected = 4002,
    TableLoaded = 4003,
    EditAccepted = 4004,
    EditConflict = 4005,
    WatchBroken = 4006,
    DigestRepaired = 4007,
    StoreDown = 5001,
    StoreUp = 5002,
    StoreCallFailed = 5003,
    ObjectIgnored = 5004,
    ObjectsListed = 5005,
    StoreSourceChanged = 5006,
    RelayFailed = 5007,
    StoreRestored = 5008,
    KnownStatesHeld = 5009,
    ListIncomplete = 5010,
    ConfigurationApplied = 5101,
    UpstreamRegistration = 5102,
    UpstreamsListed = 5103,
    EvacuationChanged = 5104,
    PeerJoined = 6001,
    PeerSuspected = 6002,
    PeerFailed = 6003,
    PeerLeft = 6004,
    PeerRefuted = 6005,
    FindingsTooLarge = 6006,
    DataCentreUnreachable = 6007,
    DataCentreReachable = 6008,
    BillHeld = 7001,
    BillsFlushed = 7002,
    BillUnheld = 7003,
    ClaimGranted = 7004,
    ClaimRefused = 7005,
    ClaimRangeTaken = 7006,
    ClaimRangeLost = 7007,
    LedgerNearlyFull = 7008,
};

/// How much an event matters; a log shows those of its level and above.
enum class EventLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/// One row of the catalogue of events.
struct EventInfo
{
    EventId id;
    std::string_view name;
    EventLevel level;
    std::string_view meaning;
};

/// One named value of an event.
struct EventField
{
    using Value = std::variant<std::string, std::int64_t, double, bool>;

    EventField(std::string_view fieldName, std::string fieldValue)
        : name(fieldName)
        , value(std::move(fieldValue))
    {}
    EventField(std::string_view fieldName, std::string_view fieldValue)
        : name(fieldName)
        , value(std::string(fieldValue))
    {}
    EventField(std::string_view fieldName, const char *fieldValue)
        : name(fieldName)
        , value(std::string(fieldValue))
    {}
    EventField(std::string_view fieldName, bool fieldValue)
        : name(fieldName)
        , value(fieldValue)
    {}
    EventField(std::string_view fieldName, double fieldValue)
        : name(fieldName)
        , value(fieldValue)
    {}
    template<std::integral Integer>
    EventField(std::string_view fieldName, Integer fieldValue)
        : name(fieldName)
        , value(static_cast<std::int64_t>(fieldValue))
    {}
    template<class Tag>
    EventField(std::string_view fieldName, const Id<Tag> &id)
        : name(fieldName)
        , value(id.str())
    {}
    template<class Tag>
    EventField(std::string_view fieldName, Amount<Tag> amount)
        : name(fieldName)
        , value(amount.count())
    {}

    /// Must outlive the call; names are literals.
    std::string_view name;
    Value value;
};

/// All events, in the order of their numbers.
std::span<const EventInfo> eventCatalogue();

/// The catalogue row of an event.
const EventInfo &describe(EventId id);

/// Settings of the log.
struct EventLogOptions
{
    /// File to append to; empty for standard error.
    std::string file;
    /// Writes to standard output without ever waiting for its reader; what it can't take is dropped
    /// and counted. Goes before the file.
    bool toStandardOutput = false;
    EventLevel level = EventLevel::Info;
    /// Fields put into every line, such as the VM.
    std::string vm;
    /// Number of last lines kept in memory for `acaciasailctl explain`.
    std::size_t recentLines = 4096;
};

/// Directs the log; before the first call events go nowhere but into memory.
void openEventLog(const EventLogOptions &options);

/// Ends the log; later events go nowhere but into memory.
void closeEventLog();

/// Whether events of this level are written; lets callers skip costly fields.
bool eventEnabled(EventId id);

/// Writes one event as one line of JSON: time, event, name, level, vm, then the fields.
void logEvent(EventId id, std::initializer_list<EventField> fields);

/// The last lines in which the given text stands, oldest first.
std::vector<std::string> recentEvents(std::string_view containing, std::size_t limit);

} // namespace acaciasail::kernel
