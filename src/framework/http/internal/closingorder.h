#pragma once

#include <cstddef>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::http {

/// What a caller's connection is doing.
enum class CallerActivity {
    /// No part of a request has arrived.
    Idle,
    /// A part of a request has arrived, or the rest of a refused one is being dropped.
    Sending,
    /// A whole request waits for its response.
    Waiting,
    /// A response is being sent.
    Reading,
};

/// A caller's connection that may be closed.
struct ClosingCandidate
{
    CallerActivity activity = CallerActivity::Idle;
    /// Bytes held for it.
    std::size_t heldBytes = 0;
    /// Time since bytes last moved on it.
    kernel::Duration silence{};
    /// Whether a request on it has been answered.
    bool served = false;
};

/// Returns the indices of the connections to close, in this order, so that at least `bytes` are
/// freed. Those that hold most and have been silent for longest go first; those whose request runs
/// or whose response moves go after them, and those that hold no more than an ordinary request
/// last.
std::vector<std::size_t> chooseForMemory(const std::vector<ClosingCandidate> &candidates,
                                         std::size_t bytes);

/// Returns the indices of at most `count` connections to close so that others can be accepted, the
/// longest silent first: those without an answered request before idle ones of ordinary callers. A
/// connection whose request runs or whose response moves is never chosen.
std::vector<std::size_t> chooseForRoom(const std::vector<ClosingCandidate> &candidates,
                                       std::size_t count);

} // namespace acaciasail::http
