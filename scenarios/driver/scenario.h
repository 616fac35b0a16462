#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::scenarios {

/// Requests of one caller, evenly spaced.
struct Traffic
{
    std::string name;
    /// The caller's clear key.
    std::string key;
    /// Numbers of the daemons that take the requests in turn, from 1.
    std::vector<int> daemons;
    int count = 0;
    kernel::Duration start{};
    kernel::Duration interval = std::chrono::milliseconds(20);
    /// Path of a plain service; empty for a chat completion.
    std::string service;
    std::string model = "auto";
    std::string tier = "default";
    std::string kind;
    std::string text = "hello";
    bool stream = false;
    int maxTokens = 8;
    /// Times that each request is sent, each at the next daemon, with one idempotency key.
    int sends = 1;
    kernel::Duration sendGap = std::chrono::milliseconds(50);
    bool idempotencyKey = false;
    /// Requests of one session, on one version.
    bool session = false;
};

/// Something that happens at a time.
struct Step
{
    kernel::Duration at{};
    /// Body of a call of the stand-ins' faults; empty for another step.
    std::string fault;
    /// Signal to a daemon: "KILL", "STOP", "CONT" or "TERM".
    std::string signal;
    int daemon = 0;
    /// Edit of one cell of the table.
    std::string table;
    std::string row;
    std::string column;
    std::string value;
};

/// A bound on one figure.
struct Expectation
{
    /// Figure, such as "answered_share"; with a traffic's name before a dot it is that traffic's.
    std::string figure;
    bool atMost = true;
    double bound = 0;
};

/// A scripted scenario.
struct Scenario
{
    std::string name;
    std::string deployment;
    std::vector<Traffic> traffic;
    std::vector<Step> steps;
    std::vector<Expectation> expectations;
    /// Time after the last answer before bills and runs are counted.
    kernel::Duration settle = std::chrono::seconds(4);
};

/// Reads a scenario. Errors: SettingsUnreadable, SettingsInvalid.
kernel::Result<Scenario> readScenario(const std::string &file);

} // namespace acaciasail::scenarios
