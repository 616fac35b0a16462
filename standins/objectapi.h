#pragma once

#include <list>
#include <string>
#include <vector>

#include "externals/testing/memorystore.h"
#include "http/http.h"
#include "record.h"
#include "replies.h"

namespace acaciasail::standins {

/// Faults of the object API; counts run down.
struct ObjectFaults
{
    /// Every call is answered with 503, and watches end.
    bool down = false;
    /// No call is answered, and watches fall silent.
    bool silent = false;
    /// Writes that take effect and whose reply is lost.
    int loseReplies = 0;
    /// Calls that are refused with 429.
    int throttle = 0;
    kernel::Duration delay{};
    /// Lists that show the objects of an earlier revision.
    int staleLists = 0;
    kernel::Revision staleRevision;
};

/// The platform's object API over HTTP (docs/PLATFORM-PROTOCOL.md).
class ObjectApi
{
public:
    ObjectApi(const kernel::Scheduler &scheduler, Record &record, kernel::Duration heartbeat);

    /// Whether a request is for this service.
    static bool serves(const http::ServerRequest &request);
    void handle(const http::ServerRequest &request, const ResponderPtr &responder);

    ObjectFaults &faults() { return m_faults; }
    externals::testing::MemoryStore &objects() { return m_objects; }
    /// Ends all watches.
    void breakWatches();

private:
    struct Watch
    {
        ResponderPtr responder;
        std::string prefix;
        kernel::Revision delivered;
    };

    void answer(const http::ServerRequest &request, const ResponderPtr &responder);
    void read(const std::string &key, const ResponderPtr &responder) const;
    void list(const http::ServerRequest &request, const ResponderPtr &responder);
    void write(const http::ServerRequest &request, const ResponderPtr &responder);
    kernel::Completion<kernel::Revision> runWrite(const http::ServerRequest &request);
    void watch(const http::ServerRequest &request, const ResponderPtr &responder);
    void deliver();
    void deliverTo(Watch &watch) const;
    void sendHeartbeats();

    const kernel::Scheduler *m_scheduler;
    Record *m_record;
    kernel::Duration m_heartbeat;
    ObjectFaults m_faults;
    externals::testing::MemoryStore m_objects;
    std::list<Watch> m_watches;
    std::vector<ResponderPtr> m_unanswered;
    kernel::Timer m_heartbeatTimer;
};

} // namespace acaciasail::standins
