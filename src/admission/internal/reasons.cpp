#include "admission/internal/types.h"

namespace acaciasail::admission {

std::string_view toString(AdmissionReason reason)
{
    switch (reason) {
    case AdmissionReason::CapacityFree:
        return "capacity_free";
    case AdmissionReason::UrgentHeadroom:
        return "urgent_headroom";
    case AdmissionReason::FairTurn:
        return "fair_turn";
    case AdmissionReason::FloorTurn:
        return "floor_turn";
    case AdmissionReason::WaitsForCapacity:
        return "waits_for_capacity";
    case AdmissionReason::CallerRequestRate:
        return "caller_request_rate";
    case AdmissionReason::CallerTokenRate:
        return "caller_token_rate";
    case AdmissionReason::CallerConcurrency:
        return "caller_concurrency";
    case AdmissionReason::WorkspaceRequestRate:
        return "workspace_request_rate";
    case AdmissionReason::WorkspaceTokenRate:
        return "workspace_token_rate";
    case AdmissionReason::WorkspaceConcurrency:
        return "workspace_concurrency";
    case AdmissionReason::RankQueueFull:
        return "rank_queue_full";
    case AdmissionReason::CallerQueueFull:
        return "caller_queue_full";
    case AdmissionReason::DeadlineUnreachable:
        return "deadline_unreachable";
    case AdmissionReason::DeadlinePassed:
        return "deadline_passed";
    case AdmissionReason::UnknownCaller:
        return "unknown_caller";
    case AdmissionReason::DuplicateRequest:
        break;
    }
    return "duplicate_request";
}

std::string_view toString(AdmissionOutcome outcome)
{
    switch (outcome) {
    case AdmissionOutcome::Admitted:
        return "admitted";
    case AdmissionOutcome::Queued:
        return "queued";
    case AdmissionOutcome::Refused:
        break;
    }
    return "refused";
}

} // namespace acaciasail::admission
