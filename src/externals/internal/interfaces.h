#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::externals {

/// One object of the object API. Values are JSON texts of at most a megabyte.
struct StoredObject
{
    std::string key;
    std::string value;
    /// Revision of the store at the object's last change.
    kernel::Revision revision;
    /// The object was deleted at this revision.
    bool deleted = false;
};

/// The objects under a prefix, and the store's revision at which they were read.
struct ObjectList
{
    std::vector<StoredObject> objects;
    kernel::Revision revision;
};

/// A watch; it ends when this object goes.
using WatchHandle = std::shared_ptr<void>;

/// Receives a watch's changes.
struct WatchHandlers
{
    std::function<void(const StoredObject &)> onChange;
    /// Called once when the watch ends. Errors: WatchCompacted, PlatformUnreachable,
    /// PlatformProtocol.
    std::function<void(const kernel::Error &)> onEnd;
};

/// The object API. All calls end later, on the loop; none is tried again by itself.
/// Errors of each: PlatformUnreachable (surely no effect), PlatformThrottled, PlatformProtocol;
/// of writes also WriteOutcomeUnknown (it may have taken effect).
struct ObjectStore
{
    /// Errors: ObjectNotFound.
    std::function<void(const std::string &key, kernel::Callback<StoredObject>)> read;
    std::function<void(const std::string &prefix, kernel::Callback<ObjectList>)> list;
    /// Creates an object that must not exist. Errors: ObjectExists.
    std::function<void(const std::string &key, const std::string &value,
                       kernel::Callback<kernel::Revision>)>
        create;
    /// Replaces an object of a known revision. Errors: RevisionConflict, ObjectNotFound.
    std::function<void(const std::string &key, const std::string &value, kernel::Revision expected,
                       kernel::Callback<kernel::Revision>)>
        update;
    /// Deletes an object of a known revision. Errors: RevisionConflict, ObjectNotFound.
    std::function<void(const std::string &key, kernel::Revision expected,
                       kernel::Callback<kernel::Revision>)>
        remove;
    /// Reports each change under a prefix after a revision, deletions too.
    std::function<WatchHandle(const std::string &prefix, kernel::Revision after, WatchHandlers)>
        watch;
};

/// What a VM is for.
enum class VmRole {
    Entry,
    Upstream,
};

/// One entry of the platform's list of VMs; the list lags behind the truth.
struct VmEntry
{
    kernel::VmId id;
    VmRole role = VmRole::Entry;
    kernel::DataCentreId dataCentre;
    /// Address of the VM's process for its peers or, on an upstream, for requests.
    kernel::Endpoint endpoint;
    /// The platform is about to take the VM away.
    bool leaving = false;
};

struct VmList
{
    std::function<void(kernel::Callback<std::vector<VmEntry>>)> list;
};

/// One rating of an answer.
struct Rating
{
    kernel::RequestId request;
    kernel::WorkspaceId workspace;
    kernel::KindId kind;
    kernel::VersionId version;
    /// Between 0 (useless) and 1 (as good as can be).
    double score = 0;
    /// Position in the service's sequence.
    std::int64_t sequence = 0;
};

/// The service that rates answers; it samples, and is slow.
struct Ratings
{
    /// Ratings after a position, oldest first.
    std::function<void(std::int64_t afterSequence, kernel::Callback<std::vector<Rating>>)> fetch;
};

/// The rate-limited store that upstreams load models from.
struct WeightStore
{
    /// Asks for leave to load a version now; gives the time to wait, zero for at once.
    std::function<void(const kernel::VersionId &, kernel::Callback<kernel::Duration>)> reserve;
};

/// All of the platform.
struct Platform
{
    ObjectStore objects;
    VmList vms;
    Ratings ratings;
    WeightStore weights;
};

} // namespace acaciasail::externals
