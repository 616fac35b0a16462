#pragma once

#include <string>

#include "record.h"

namespace review {

/// A request of a caller, as the pages' examples show it.
struct CallerRequest
{
    std::string id;
    std::string method = "POST";
    std::string path = "/book/2f";
    std::string host = "desk.example";
    std::string key = "key-a";
    Milliseconds timeout{ 1500 };
    std::string body = "booking";
    std::string moreHeaders;
};

std::string encode(const CallerRequest &request);

/// How a caller's request ended.
struct Outcome
{
    /// 0 if no response came.
    int status = 0;
    bool complete = false;
    Head head;
    std::string body;
    Milliseconds took{};
};

/// Sends a request on a connection of its own, waits for the response, and notes both.
Outcome call(Record &record, int port, const CallerRequest &request, Milliseconds patience);

/// The configuration of a small deployment: a plain service with an unsafe route and, if wanted, a
/// safe one.
std::string smallConfiguration(int version, bool withPages = true);

} // namespace review
