#pragma once

#include <deque>
#include <string>
#include <vector>

#include "http/http.h"
#include "record.h"
#include "replies.h"
#include "standinsettings.h"

namespace acaciasail::standins {

/// VM list, ratings and weight store of the platform over HTTP.
class PlatformServices
{
public:
    PlatformServices(const kernel::Scheduler &scheduler, const StandinSettings &settings);

    void handle(const http::ServerRequest &request, const ResponderPtr &responder);

    /// Changes the VMs; the list shows it after its lag.
    void setVms(std::vector<externals::VmEntry> vms);
    const std::vector<externals::VmEntry> &vms() const { return m_vms; }
    /// Rates a finished answer later, or not at all.
    void rate(const RunRecord &run, const http::Headers &headers, double quality);
    void addRating(externals::Rating rating);
    /// All three services answer 503.
    bool &down() { return m_down; }
    kernel::Duration &loadInterval() { return m_loadInterval; }

private:
    void sendVms(const ResponderPtr &responder) const;
    void sendRatings(const http::ServerRequest &request, const ResponderPtr &responder) const;
    void reserve(const ResponderPtr &responder);

    const kernel::Scheduler *m_scheduler;
    const StandinSettings *m_settings;
    kernel::Random m_random;
    std::vector<externals::VmEntry> m_vms;
    /// The list as it is shown.
    std::vector<externals::VmEntry> m_shownVms;
    std::deque<externals::Rating> m_ratings;
    std::int64_t m_ratingSequence = 0;
    kernel::Duration m_loadInterval;
    kernel::Instant m_nextLoad{};
    bool m_down = false;
};

} // namespace acaciasail::standins
