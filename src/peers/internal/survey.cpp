#include "peers/internal/survey.h"

#include <algorithm>
#include <memory>

namespace acaciasail::peers {

namespace {

constexpr const char *surveyMethod = "peers.survey";

// Maximum number of hops of a survey; more than the longest path in a tree of a thousand daemons in
// a hundred data centres.
constexpr std::uint32_t maxHops = 24;

SurveyEntry toEntry(const proto::SurveyEntry &message)
{
    SurveyEntry entry;
    entry.id = kernel::VmId(message.id());
    entry.revision = kernel::Revision(message.revision());
    entry.rowsHash = message.rows();
    if (message.age_plus_one() > 0)
        entry.age = kernel::Duration(static_cast<std::int64_t>(message.age_plus_one() - 1));
    return entry;
}

/// A survey that waits for the answers of this daemon's neighbours.
struct PendingSurvey
{
    proto::SurveyAnswer answer;
    std::size_t outstandingAnswers = 0;
    std::function<void(const proto::SurveyAnswer &)> done;
};

void countAnswer(PendingSurvey &pending)
{
    if (--pending.outstandingAnswers == 0)
        pending.done(pending.answer);
}

} // namespace

Survey::Survey(Node &node, AntiEntropy &antiEntropy, const RowSource &source)
    : m_node(node)
    , m_antiEntropy(antiEntropy)
    , m_source(source)
{
    m_node.serve<proto::Survey>(
        surveyMethod, [this](const proto::Survey &survey, const auto &reply) {
            collect(survey.from(), std::min(survey.hops_left(), maxHops), reply);
        });
}

proto::SurveyEntry Survey::ownEntry() const
{
    proto::SurveyEntry entry;
    entry.set_id(m_node.members.self().peer.id.str());
    entry.set_revision(m_source.revision().count());
    entry.set_rows(m_antiEntropy.rowsHash());
    if (const std::optional<kernel::Duration> age = m_antiEntropy.sinceHeard())
        entry.set_age_plus_one(static_cast<std::uint64_t>(age->count()) + 1);
    return entry;
}

void Survey::collect(const std::string &senderId, std::uint32_t hopsLeft,
                     std::function<void(const proto::SurveyAnswer &)> done)
{
    const Neighbours neighbours = m_node.neighbours();
    std::vector<Member> targets = neighbours.children;
    targets.insert(targets.end(), neighbours.remote.begin(), neighbours.remote.end());
    if (neighbours.parent)
        targets.push_back(*neighbours.parent);
    std::erase_if(targets, [&](const Member &target) { return target.peer.id.str() == senderId; });
    if (hopsLeft == 0)
        targets.clear();

    auto pending = std::make_shared<PendingSurvey>();
    pending->done = std::move(done);
    // This daemon is counted as well, so that the survey can't finish before all are queried.
    pending->outstandingAnswers = targets.size() + 1;
    *pending->answer.add_daemons() = ownEntry();
    proto::Survey survey;
    survey.set_from(m_node.members.self().peer.id.str());
    survey.set_hops_left(hopsLeft > 0 ? hopsLeft - 1 : 0);
    for (const Member &target : targets) {
        m_node.call<proto::SurveyAnswer>(
            target.peer.endpoint, surveyMethod, survey,
            [pending](const std::optional<proto::SurveyAnswer> &answer) {
                if (answer)
                    pending->answer.MergeFrom(*answer);
                countAnswer(*pending);
            });
    }
    countAnswer(*pending);
}

void Survey::run(std::function<void(std::vector<SurveyEntry>)> callback)
{
    collect({}, maxHops, [callback = std::move(callback)](const proto::SurveyAnswer &answer) {
        std::vector<SurveyEntry> entries;
        for (const proto::SurveyEntry &entry : answer.daemons())
            entries.push_back(toEntry(entry));
        std::ranges::sort(entries, {}, &SurveyEntry::id);
        callback(std::move(entries));
    });
}

} // namespace acaciasail::peers
