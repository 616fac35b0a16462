#pragma once

#include "record.h"
#include "world.h"

namespace acaciasail::soak {

/// Evacuates one of the two data centres from time to time, if the other one has enough runners of
/// all services.
class Evacuations
{
public:
    Evacuations(World &world, kernel::Random random);
    Evacuations(const Evacuations &) = delete;
    Evacuations &operator=(const Evacuations &) = delete;

private:
    void next();
    /// Returns whether each service has enough runners outside of the data centre.
    bool mayEvacuate(const std::string &dataCentre) const;

    World &m_world;
    kernel::Random m_random;
    kernel::Timer m_next;
};

/// Judges whether evacuated data centres got no requests.
void judgeEvacuations(const Record &record, std::vector<std::string> &broken);

/// Judges whether cold runners got no more requests than their limit allows.
void judgeColdRunners(const Record &record, std::vector<std::string> &broken);

} // namespace acaciasail::soak
