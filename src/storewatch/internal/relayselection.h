#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::storewatch {

/// Number of routers of a data centre that read from the store while none of them fails.
constexpr std::size_t relaysPerDataCentre = 2;
/// Number of known routers of a data centre below which each reads from the store itself.
constexpr std::size_t minRoutersForRelays = 6;

/// Selects from which router of its data centre a router reads what the store holds. Each router
/// decides by itself: the routers are ranked by rendezvous hashing, the first ones read from the
/// store, and each other one reads from one ranked before it that hasn't failed it lately, or from
/// the store if there is none.
class RelaySelection
{
public:
    explicit RelaySelection(kernel::VmId self)
        : m_self(std::move(self))
    {}

    /// Sets the data centre of this router; without one it reads from the store itself.
    void setDataCentre(const kernel::DataCentreId &dataCentre) { m_dataCentre = dataCentre; }
    /// Sets the address on which a router serves others, nothing if it doesn't, and its data
    /// centre.
    void setRouter(const kernel::VmId &vm, const std::optional<kernel::Endpoint> &endpoint,
                   const kernel::DataCentreId &dataCentre);
    /// Forgets all routers.
    void clear();

    /// Returns whether the data centre has enough routers for relays.
    bool relaysInUse() const;
    /// Returns the router to read from; nothing if the store is to be read.
    std::optional<kernel::VmId> source(kernel::Instant now);
    /// Returns a router's address; nothing if it is not known any more.
    std::optional<kernel::Endpoint> endpoint(const kernel::VmId &vm) const;

    /// Records that a router didn't answer, or refused. It is not selected for a time that grows
    /// with each consecutive failure.
    void recordFailure(const kernel::VmId &vm, kernel::Instant now);
    void recordSuccess(const kernel::VmId &vm);

private:
    struct Rest
    {
        kernel::Instant until{};
        int failures = 0;
    };

    void rank();
    bool isUsable(const kernel::VmId &vm, kernel::Instant now) const;

    kernel::VmId m_self;
    std::optional<kernel::DataCentreId> m_dataCentre;
    // The routers of the own data centre.
    std::map<kernel::VmId, kernel::Endpoint> m_routers;
    std::map<kernel::VmId, Rest> m_rests;
    // Those ranked before this router, in the order in which it asks them; valid unless m_stale.
    std::vector<kernel::VmId> m_before;
    bool m_stale = true;
    std::optional<kernel::VmId> m_current;
};

} // namespace acaciasail::storewatch
