#pragma once

#include <string>

#include "caller.h"
#include "runner.h"

namespace review {

/// Returns an id of a round of requests, such as "second-report-3".
std::string numbered(const std::string &round, const std::string &what, int number);

/// A request for a report: its first part is shared, its session and last part are its own.
CallerRequest reportRequest(const std::string &round, int number, Milliseconds timeout);

/// A stream that a model runner sends.
struct StreamShape
{
    int events = 4;
    Milliseconds interval{ 30 };
};

/// Answers a request with the rest of a stream: the events after the caller's Last-Event-Id.
/// Returns whether the connection is kept.
bool sendStream(Runner &runner, const RunnerCall &run, StreamShape shape);

/// The configuration of a small deployment with a model service `pool` and a plain service `desk`:
/// the unsafe route /book/ and, in versions after the first, the streaming route /label/.
std::string modelConfiguration(int version, Milliseconds streamTimeout);

/// A request for a stream.
CallerRequest streamRequest(const std::string &id, const std::string &key,
                            const std::string &tokens, const std::string &parts,
                            Milliseconds timeout);

/// Sends the requests at the same time and returns how many were served whole.
int serveAtOnce(Record &record, int port, const std::vector<CallerRequest> &requests,
                Milliseconds patience);

} // namespace review
