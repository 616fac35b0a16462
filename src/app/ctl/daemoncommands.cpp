#include <algorithm>

#include <nlohmann/json.hpp>

#include "ctl/commands.h"
#include "ctl/tableaccess.h"
#include "ctl/texttable.h"

namespace acaciasail::ctl {

namespace {

using Json = nlohmann::ordered_json;
using kernel::ResultCode;

// The answer of one daemon, or why there is none.
struct DaemonAnswer
{
    kernel::Endpoint daemon;
    std::optional<Json> json;
    std::string error;
};

std::vector<DaemonAnswer> ask(Session &session, const std::string &method, const std::string &path)
{
    const auto answers = session.askDaemons(method, path);
    std::vector<DaemonAnswer> result;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        DaemonAnswer answer{ session.options().daemons[i], std::nullopt, {} };
        if (!answers[i].ok()) {
            answer.error = answers[i].error().message;
        } else {
            Json json = Json::parse(answers[i].value().body, nullptr, false);
            if (json.is_object())
                answer.json = std::move(json);
            else
                answer.error = "the answer is not a JSON object";
        }
        result.push_back(std::move(answer));
    }
    return result;
}

// Names the daemons that gave no answer.
ExitCode reportUnreachable(Session &session, const std::vector<DaemonAnswer> &answers)
{
    ExitCode code = ExitCode::Ok;
    for (const DaemonAnswer &answer : answers) {
        if (answer.json)
            continue;
        session.err() << "daemon " << kernel::toString(answer.daemon) << ": " << answer.error
                      << "\n";
        code = ExitCode::Unreachable;
    }
    return code;
}

Json allAnswers(const std::vector<DaemonAnswer> &answers)
{
    Json json = Json::array();
    for (const DaemonAnswer &answer : answers) {
        Json entry = { { "daemon", kernel::toString(answer.daemon) } };
        if (answer.json)
            entry["answer"] = *answer.json;
        else
            entry["error"] = answer.error;
        json.push_back(std::move(entry));
    }
    return json;
}

std::string text(const Json &value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (value.is_array())
        return std::to_string(value.size());
    return value.dump();
}

std::string field(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() ? text(*found) : "-";
}

std::int64_t revisionOf(const DaemonAnswer &answer)
{
    const auto found = answer.json->find("revision");
    return found != answer.json->end() && found->is_number_integer() ? found->get<std::int64_t>()
                                                                     : 0;
}

// Highest revision of a row in the store or, without the store, on any daemon.
std::int64_t newestRevision(Session &session, const std::vector<DaemonAnswer> &answers)
{
    std::int64_t newest = 0;
    for (const DaemonAnswer &answer : answers) {
        if (answer.json)
            newest = std::max(newest, revisionOf(answer));
    }
    if (!session.options().platform)
        return newest;
    const auto stored = readTable(session);
    if (!stored.ok()) {
        session.err() << "the store: " << stored.error().message << "\n";
        return newest;
    }
    for (const auto &[key, entry] : stored.value().entries)
        newest = std::max(newest, entry.revision.count());
    return newest;
}

struct RevisionSpread
{
    std::int64_t newest = 0;
    std::size_t inForce = 0;
    std::vector<std::string> behind;
};

RevisionSpread spreadOf(const std::vector<DaemonAnswer> &answers, std::int64_t newest)
{
    RevisionSpread spread{ newest, 0, {} };
    for (const DaemonAnswer &answer : answers) {
        if (!answer.json)
            continue;
        if (revisionOf(answer) >= newest)
            ++spread.inForce;
        else
            spread.behind.push_back(field(*answer.json, "vm") + " ("
                                    + std::to_string(revisionOf(answer)) + ")");
    }
    return spread;
}

void printStatus(Session &session, const std::vector<DaemonAnswer> &answers,
                 const RevisionSpread &spread)
{
    constexpr std::array columns{ "vm",    "data_centre", "revision", "rows",  "rejected_rows",
                                  "peers", "in_progress", "draining", "store", "table_age_ms" };
    std::vector<std::vector<std::string>> lines;
    lines.emplace_back(columns.begin(), columns.end());
    for (const DaemonAnswer &answer : answers) {
        if (!answer.json)
            continue;
        auto &line = lines.emplace_back();
        for (const char *column : columns)
            line.push_back(field(*answer.json, column));
    }
    printTable(session.out(), lines);
    session.out() << "\nrevision " << spread.newest << " is in force on " << spread.inForce
                  << " of " << answers.size() << " daemons\n";
    for (const std::string &daemon : spread.behind)
        session.out() << "behind: " << daemon << "\n";
    for (const DaemonAnswer &answer : answers) {
        if (!answer.json || !answer.json->contains("rejected_rows"))
            continue;
        for (const Json &row : (*answer.json)["rejected_rows"]) {
            session.out() << "rejected on " << field(*answer.json, "vm") << ": " << text(row)
                          << "\n";
        }
    }
}

// One event as a line: time, VM, name, then the other fields.
std::string formatEvent(const Json &event)
{
    std::string line
        = field(event, "time") + "  " + field(event, "vm") + "  " + field(event, "name");
    for (const auto &[name, value] : event.items()) {
        if (name != "time" && name != "vm" && name != "name" && name != "event" && name != "level"
            && name != "request")
            line += "  " + name + "=" + text(value);
    }
    return line;
}

} // namespace

ExitCode runStatus(Session &session)
{
    if (const auto missing = session.requireDaemons())
        return *missing;
    const auto answers = ask(session, "GET", "/admin/status");
    const RevisionSpread spread = spreadOf(answers, newestRevision(session, answers));
    if (session.options().json) {
        const Json json = { { "newest_revision", spread.newest },
                            { "in_force", spread.inForce },
                            { "behind", spread.behind },
                            { "daemons", allAnswers(answers) } };
        session.out() << json.dump(2) << "\n";
    } else {
        printStatus(session, answers, spread);
    }
    return reportUnreachable(session, answers);
}

ExitCode runExplain(Session &session)
{
    if (const auto missing = session.requireDaemons())
        return *missing;
    const std::string &id = session.options().arguments[1];
    const auto answers = ask(session, "GET", "/admin/explain?request=" + http::percentEncode(id));
    std::vector<Json> events;
    for (const DaemonAnswer &answer : answers) {
        if (!answer.json || !answer.json->contains("events"))
            continue;
        for (const Json &event : (*answer.json)["events"])
            events.push_back(event);
    }
    std::ranges::stable_sort(events, {}, [](const Json &event) { return field(event, "time"); });
    if (session.options().json) {
        session.out() << Json{ { "request", id }, { "events", events } }.dump(2) << "\n";
    } else {
        for (const Json &event : events)
            session.out() << formatEvent(event) << "\n";
    }
    const ExitCode code = reportUnreachable(session, answers);
    if (!events.empty() || code != ExitCode::Ok)
        return code;
    session.err() << "no daemon remembers request \"" << id << "\"\n";
    return ExitCode::Refused;
}

ExitCode runSessions(Session &session)
{
    if (const auto missing = session.requireDaemons())
        return *missing;
    const auto answers = ask(session, "GET", "/admin/sessions");
    if (session.options().json) {
        session.out() << allAnswers(answers).dump(2) << "\n";
        return reportUnreachable(session, answers);
    }
    for (const DaemonAnswer &answer : answers) {
        if (!answer.json)
            continue;
        session.out() << "daemon " << kernel::toString(answer.daemon) << "\n";
        for (const auto &[name, value] : answer.json->items()) {
            session.out() << "  " << name << ": "
                          << (value.is_string() ? text(value) : value.dump()) << "\n";
        }
    }
    return reportUnreachable(session, answers);
}

ExitCode runDrain(Session &session)
{
    if (const auto missing = session.requireDaemons())
        return *missing;
    const auto answers = ask(session, "POST", "/admin/drain");
    if (session.options().json) {
        session.out() << allAnswers(answers).dump(2) << "\n";
    } else {
        for (const DaemonAnswer &answer : answers) {
            if (answer.json)
                session.out() << "daemon " << kernel::toString(answer.daemon) << " is draining\n";
        }
    }
    return reportUnreachable(session, answers);
}

} // namespace acaciasail::ctl
