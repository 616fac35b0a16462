#pragma once

#include <functional>
#include <string>
#include <vector>

#include "admission/admission.h"

namespace acaciasail::bench {

/// An order of service under test: admission itself, or a baseline.
struct Policy
{
    std::string name;
    std::function<void(std::int64_t slots)> setCapacity;
    std::function<admission::AdmissionDecision(const admission::AdmissionRequest &,
                                               kernel::Instant)>
        admit;
    std::function<std::vector<admission::ReleasedRequest>(kernel::Instant)> release;
    std::function<void(const kernel::RequestId &, kernel::Tokens, kernel::Instant)> finish;
};

/// Admission as the daemon runs it.
Policy acaciasailPolicy(const table::Snapshot &snapshot);
/// One queue in order of arrival.
Policy fifoPolicy();
/// One queue a rank, the most urgent always first.
Policy strictPriorityPolicy();
/// Admission with all requests of a workspace in one flow.
Policy noCallerFairnessPolicy(const table::Snapshot &snapshot);

} // namespace acaciasail::bench
