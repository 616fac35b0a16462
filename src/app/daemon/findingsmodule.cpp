#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

#include "daemon/daemon.h"
#include "daemon/findings.h"
#include "daemon/modules.h"
#include "externals/externals.h"
#include "gateway/gateway.h"
#include "http/http.h"
#include "peers/peers.h"
#include "routing/routing.h"

namespace acaciasail::daemon {

namespace {

constexpr std::chrono::seconds ratingsInterval{ 2 };

// Evidence of all roll-outs, one line of JSON each, in order of id.
std::string encodeRollouts(const routing::RolloutEvidenceStore &book)
{
    std::vector<std::string> lines;
    for (const auto &[rollout, evidence] : book.evidence)
        lines.push_back(routing::encodeEvidence(rollout, evidence));
    std::ranges::sort(lines);
    std::string text;
    for (const std::string &line : lines)
        text += line + "\n";
    return text;
}

bool mergeRollouts(gateway::Gateway &gateway, const std::string &text)
{
    std::istringstream lines(text);
    const std::string before = encodeRollouts(gateway.rollouts());
    for (std::string line; std::getline(lines, line);) {
        const auto decoded = kernel::capture([&] { return routing::decodeEvidence(line); });
        if (decoded.ok())
            gateway.recordEvidence(decoded.value());
    }
    return encodeRollouts(gateway.rollouts()) != before;
}

peers::Topic rolloutTopic(const std::shared_ptr<gateway::Gateway> &gateway)
{
    return { rolloutTopicName, [gateway] { return encodeRollouts(gateway->rollouts()); },
             [gateway](const std::string &state) { return mergeRollouts(*gateway, state); } };
}

peers::Topic poisonTopic(const std::shared_ptr<gateway::Gateway> &gateway)
{
    upstreams::Dispatcher *dispatcher = &gateway->dispatcher();
    return { poisonTopicName, [gateway, dispatcher] { return dispatcher->encodePoison(); },
             [gateway, dispatcher](const std::string &state) {
                 const std::string before = dispatcher->encodePoison();
                 const auto merged
                     = kernel::capture([&] { return dispatcher->mergePoison(state); });
                 return merged.ok() && dispatcher->encodePoison() != before;
             } };
}

/// Reads ratings as they come, and follows who the daemons of the fleet are.
struct Findings
{
    std::shared_ptr<http::EventLoop> loop;
    std::shared_ptr<externals::Platform> platform;
    std::shared_ptr<gateway::Gateway> gateway;
    std::shared_ptr<peers::Peers> peers;
    std::int64_t lastRating = 0;
    kernel::Timer ratingsTimer;
    kernel::Subscription memberChanges;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void readRatings();
    void passDaemons();
};

void Findings::readRatings()
{
    std::weak_ptr<bool> weak = alive;
    platform->ratings.fetch(
        lastRating, [this, weak](const kernel::Completion<std::vector<externals::Rating>> &read) {
            if (weak.expired())
                return;
            if (read.ok()) {
                gateway->recordRatings(read.value());
                if (!read.value().empty())
                    lastRating = read.value().back().sequence;
            }
            ratingsTimer
                = kernel::Timer(loop->scheduler(), ratingsInterval, [this] { readRatings(); });
        });
}

void Findings::passDaemons()
{
    const wire::PeersView view = peers->view();
    std::vector<kernel::VmId> daemons{ view.self.id };
    for (const wire::Peer &peer : view.live())
        daemons.push_back(peer.id);
    std::ranges::sort(daemons);
    gateway->setDaemons(std::move(daemons));
}

kernel::Result<void> startFindings(kernel::ServiceRegistry &services)
{
    const auto findings = std::make_shared<Findings>();
    BOOST_LEAF_ASSIGN(findings->loop, services.find<http::EventLoop>(names::loop));
    BOOST_LEAF_ASSIGN(findings->platform, services.find<externals::Platform>(names::platform));
    BOOST_LEAF_ASSIGN(findings->gateway, services.find<gateway::Gateway>(names::gateway));
    BOOST_LEAF_ASSIGN(findings->peers, services.find<peers::Peers>(names::peers));
    findings->peers->addTopic(rolloutTopic(findings->gateway));
    findings->peers->addTopic(poisonTopic(findings->gateway));
    findings->memberChanges = findings->peers->memberChanged().subscribe(
        [self = findings.get()](const peers::MemberChange &) { self->passDaemons(); });
    findings->peers->start();
    findings->readRatings();
    return services.add("findings", findings);
}

} // namespace

kernel::Module findingsModule()
{
    kernel::Module module;
    module.name = "findings";
    module.init = startFindings;
    module.shutdown = [](kernel::ServiceRegistry &services) { services.remove("findings"); };
    return module;
}

} // namespace acaciasail::daemon
