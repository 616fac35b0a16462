#pragma once

#include <memory>
#include <optional>
#include <string>

#include "gateway/internal/apierror.h"
#include "gateway/internal/authentication.h"
#include "gateway/internal/chatanswer.h"
#include "gateway/internal/chatrequest.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/idempotencyclaim.h"
#include "http/http.h"

namespace acaciasail::gateway {

/// Processes one chat completion: claims the idempotency key, chooses the version, waits for
/// admission, runs the request, repeats it with a stronger version if the answer is not good
/// enough, settles the bill and sends the answer.
///
/// The object keeps itself alive until the answer is finished or the caller has disconnected.
class ChatFlow : public std::enable_shared_from_this<ChatFlow>
{
public:
    ChatFlow(GatewayContext &context, Identity identity, ChatRequest request, table::Rank rank,
             std::shared_ptr<http::Responder> responder);

    void start();

private:
    /// The answer of one version, as far as it has been received.
    struct Answer
    {
        kernel::VersionId version;
        kernel::Instant startedAt;
        std::optional<kernel::Instant> firstTokenAt;
        std::string text;
        upstreams::Usage usage;
        std::int64_t tokens = 0;
        std::string finishReason;
    };

    void acquireClaim();
    void replay(const ledger::HeldAnswer &answer);
    void chooseVersion();
    bool readSession();
    routing::RequestFacts makeFacts() const;
    void requestAdmission(const table::SnapshotPtr &snapshot);
    void onAdmissionDecision(const admission::AdmissionDecision &decision);
    void run(const kernel::VersionId &version);
    upstreams::JobSpec makeJob(const kernel::VersionId &version);
    void onText(std::string_view text);
    void onEnd(const upstreams::JobResult &result);
    void onAnswered(const upstreams::JobResult &result);
    bool shouldEscalate();
    void onFailed(const upstreams::JobResult &result);
    void settle();
    void onSettled(const kernel::Completion<kernel::Done> &outcome);
    void startStream();
    void sendAnswer();
    void buildCompleteAnswer();
    void fail(const ApiError &error);
    void onCallerDisconnected();
    void finish(const ApiError &error);
    void logFinished(const ApiError &error) const;
    void issueSession();
    bool buffersAnswer() const;
    http::Headers responseHeaders(const char *contentType) const;
    ledger::BillRecord makeBill() const;
    void addAnswerToTotals();
    void recordAnswer(bool delivered);

    GatewayContext &m_context;
    Identity m_identity;
    ChatRequest m_request;
    table::Rank m_rank;
    std::shared_ptr<http::Responder> m_responder;
    std::shared_ptr<ChatFlow> m_self;

    IdempotencyClaim m_claim;
    // The complete answer for repeated requests with the same idempotency key, and the text that
    // was already streamed to the caller.
    ledger::HeldAnswer m_completeAnswer;
    std::string m_streamedText;
    kernel::Instant m_arrived;
    kernel::Instant m_deadline;
    // Value of X-Session-Id in the response; empty if the request is in no session.
    std::string m_responseSessionId;
    bool m_newSession = false;
    // The session that the caller sent, with the version that the session is bound to.
    std::optional<routing::SessionPin> m_callerSession;
    routing::RequestFacts m_facts;
    routing::VersionDecision m_decision;
    bool m_admitted = false;
    bool m_escalated = false;
    Answer m_answer;
    std::unique_ptr<upstreams::Job> m_job;
    std::optional<ChunkFormatter> m_chunkFormatter;
    bool m_streaming = false;
    bool m_finished = false;
    // Usage, and cost in millionths of the currency unit, summed over all versions that ran for the
    // answer.
    upstreams::Usage m_totalUsage;
    double m_totalCostMicro = 0;
};

} // namespace acaciasail::gateway
