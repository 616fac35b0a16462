#pragma once

#include <deque>
#include <map>
#include <string>

#include "platform/testing/storestandin.h"

namespace acaciasail::soak {

/// The operators and the runners as writers to the store. They write again what it has lost when it
/// comes back from an older copy.
class StoreWriters
{
public:
    explicit StoreWriters(platform::testing::StoreStandin &store)
        : m_store(store)
    {}

    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);

    /// Takes a copy of what the store holds; the latest ones are kept.
    void takeCopy();
    /// Lets the store go back to the oldest copy that is kept.
    void restoreCopy();
    /// Writes again what the store doesn't hold as it was written last.
    void writeAgain();

private:
    platform::testing::StoreStandin &m_store;
    std::deque<platform::testing::StoreCopy> m_copies;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_written;
};

} // namespace acaciasail::soak
