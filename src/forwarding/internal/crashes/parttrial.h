#pragma once

#include <optional>
#include <vector>

#include "forwarding/internal/crashes/partcrashes.h"

namespace acaciasail::forwarding {

// A blamed part may be sound: upstreams also crash for reasons of their own, and then each part
// that most requests share was at all of the crashes. As requests with the part are refused, none
// could show it. So the routers that saw the crashes send, one after the other and a few times in
// all, a request with the part.

/// Records which router told of crashes of requests with these parts.
void recordReporter(PartCrashes &crashes, const kernel::VmId &from,
                    const PartEvidenceSet &received);

/// Records that these parts are blamed from now on.
void recordBlame(PartCrashes &crashes, const std::vector<PromptPartKey> &parts,
                 kernel::Instant now);

/// Returns the blamed part that this router may now try with a request that has these parts;
/// nothing if there is none, or if another part of the request may be the crashing one.
std::optional<PromptPartKey> partToTry(const PartCrashes &crashes,
                                       const std::vector<PromptPartKey> &parts,
                                       const kernel::VmId &self, kernel::Instant now,
                                       kernel::WallTime wallNow);

/// Returns whether a trial that is under way will show whether a request with these parts can be
/// sent.
bool isTrialUnderWay(const PartCrashes &crashes, const std::vector<PromptPartKey> &parts);

/// A request under way as a trial of a part. No other one of this router begins before it ends.
class PartTrial
{
public:
    PartTrial(PartCrashes &crashes, PromptPartKey part);
    ~PartTrial();
    PartTrial(const PartTrial &) = delete;
    PartTrial &operator=(const PartTrial &) = delete;

    const PromptPartKey &part() const { return m_part; }
    bool isSent() const { return m_sent; }
    /// Records that the request is sent to an upstream; all routers are told.
    void recordSent(kernel::WallTime wallNow);

private:
    PartCrashes &m_crashes;
    PromptPartKey m_part;
    bool m_sent = false;
};

} // namespace acaciasail::forwarding
