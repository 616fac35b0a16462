#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "ledger/internal/claimrange.h"
#include "ledger/internal/claimtypes.h"
#include "ledger/internal/environment.h"

namespace acaciasail::ledger {

/// Counts since the start, for metrics and measurements.
struct ClaimCounters
{
    std::int64_t asked = 0;
    std::int64_t granted = 0;
    std::int64_t refused = 0;
};

/// Claims on idempotency keys, agreed between all daemons, so that a request runs at most once.
///
/// The keys are divided into ranges; each has one owner among the daemons at a time.
class Claims
{
public:
    Claims(const LedgerEnvironment &environment, const ClaimOptions &options);
    Claims(const Claims &) = delete;
    Claims &operator=(const Claims &) = delete;
    ~Claims();

    /// Asks for the claim on a request's key. Errors, both of which mean that the request was not
    /// granted and did not run: ClaimUnavailable, ClaimHeldElsewhere.
    void claim(const ClaimRequest &request, kernel::Callback<ClaimResult> callback);
    /// Gives the answer of a granted request to its repeats.
    void complete(const ClaimHandle &handle, HeldAnswer answer);
    /// The granted request surely did not run; a repeat may.
    void release(const ClaimHandle &handle);
    /// What came of the granted request is not known.
    void abandon(const ClaimHandle &handle);
    /// Hands the owned ranges over to other daemons.
    void handOver(kernel::Callback<kernel::Done> callback);

    const ClaimCounters &counters() const { return m_counters; }
    std::size_t ownedRanges() const;

private:
    /// A question on its way to the owner, through any number of tries.
    struct Question
    {
        ClaimAsk ask;
        bool isUpdate = false;
        kernel::Instant deadline;
        /// VMs that could not be reached.
        std::set<kernel::VmId> unreachable;
        int tries = 0;
        kernel::VmId target;
        kernel::Callback<ClaimReply> callback;
    };
    using QuestionPtr = std::shared_ptr<Question>;

    ClaimRange &range(int number);
    void finish(const ClaimHandle &handle, ClaimState state, HeldAnswer answer);
    void step(const QuestionPtr &question);
    void stepLater(const QuestionPtr &question);
    kernel::VmId chooseTarget(const Question &question) const;
    kernel::VmId preferredOwner(int range, const std::set<kernel::VmId> &without,
                                bool withSelf) const;
    void answered(const QuestionPtr &question, const ClaimReply &reply);
    void unreachable(const QuestionPtr &question);
    void giveUp(const QuestionPtr &question, kernel::ResultCode code);
    void handleMessages();
    void handleClaim(const wire::Message &message, const wire::Reply &reply, bool isUpdate);
    std::string handleWitness(const WitnessRequest &request);
    std::string handleDeny(const DenyRequest &request);
    void tick();
    void repairWitnessed();
    void beginRanges();

    LedgerEnvironment m_environment;
    ClaimOptions m_options;
    ClaimCounters m_counters;
    WitnessBook m_witnessBook;
    std::map<int, std::unique_ptr<ClaimRange>> m_ranges;
    /// Owner of each range, as last heard.
    std::map<int, kernel::VmId> m_owners;
    /// When a VM was last seen live.
    std::map<kernel::VmId, kernel::Instant> m_lastLiveAt;
    std::uint64_t m_lastClaimant = 0;
    kernel::Instant m_lastSearchAt;
    kernel::Timer m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace acaciasail::ledger
