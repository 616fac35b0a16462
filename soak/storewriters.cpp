#include "storewriters.h"

namespace acaciasail::soak {

namespace {

constexpr std::size_t maxCopies = 3;

} // namespace

void StoreWriters::put(const std::string &kind, const std::string &name, const nlohmann::json &spec)
{
    m_written[kind][name] = spec;
    m_store.put(kind, name, spec);
}

void StoreWriters::remove(const std::string &kind, const std::string &name)
{
    m_written[kind].erase(name);
    m_store.remove(kind, name);
}

void StoreWriters::takeCopy()
{
    m_copies.push_back(m_store.copy());
    if (m_copies.size() > maxCopies)
        m_copies.pop_front();
}

// Later copies are of a history that has ended.
void StoreWriters::restoreCopy()
{
    if (m_copies.empty())
        return;
    m_store.restoreCopy(m_copies.front());
    m_copies.resize(1);
}

void StoreWriters::writeAgain()
{
    for (const auto &[kind, written] : m_written) {
        const platform::testing::StoreCopy held = m_store.copy();
        const auto objects = held.objects.find(kind);
        if (objects != held.objects.end()) {
            for (const auto &[name, object] : objects->second) {
                if (!written.contains(name))
                    m_store.remove(kind, name);
            }
        }
        for (const auto &[name, spec] : written) {
            const nlohmann::json object = m_store.object(kind, name);
            if (object.is_null() || object["Spec"] != spec)
                m_store.put(kind, name, spec);
        }
    }
}

} // namespace acaciasail::soak
