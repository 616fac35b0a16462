#include "forwarding/internal/placement/promptholders.h"

#include <algorithm>
#include <cmath>

namespace acaciasail::forwarding {

namespace {

constexpr std::size_t maxParts = 16;
constexpr std::size_t maxReaders = 8;
constexpr std::size_t maxUses = 8192;
// Age at which what an upstream has read is in its cache with a probability of one half. The
// exponent sets how sharply the probability falls around that age.
constexpr double cacheSeconds = 20;
constexpr double cacheExponent = 4;

double keptShare(kernel::Duration age)
{
    return 1 / (1 + std::pow(kernel::toSeconds(age) / cacheSeconds, cacheExponent));
}

std::size_t countShared(const std::vector<PromptPart> &parts)
{
    return parts.empty() ? 0 : std::min(parts.size() - 1, maxParts);
}

std::uint64_t hashStart(const kernel::ServiceName &service, const std::string &model)
{
    return kernel::hash64(model, kernel::hash64(service.str()));
}

void recordReader(std::vector<SentPrompts::Reader> &readers, const kernel::UpstreamId &process,
                  kernel::Instant now)
{
    const auto known = std::ranges::find(readers, process, &SentPrompts::Reader::process);
    if (known != readers.end())
        known->at = now;
    else if (readers.size() < maxReaders)
        readers.push_back({ process, now });
    else
        *std::ranges::min_element(readers, {}, &SentPrompts::Reader::at) = { process, now };
}

void forgetOldest(SentPrompts &sent)
{
    while (sent.uses.size() > maxUses) {
        const auto [hash, at] = sent.uses.front();
        sent.uses.pop_front();
        const auto entry = sent.starts.find(hash);
        if (entry != sent.starts.end() && entry->second.usedAt == at)
            sent.starts.erase(entry);
    }
}

} // namespace

void recordPrompt(SentPrompts &sent, const kernel::ServiceName &service, const std::string &model,
                  const std::vector<PromptPart> &parts, const kernel::UpstreamId &process,
                  kernel::Instant now)
{
    std::uint64_t hash = hashStart(service, model);
    for (std::size_t i = 0; i < countShared(parts); ++i) {
        hash = kernel::hash64(parts[i].id, hash);
        SentPrompts::Entry &entry = sent.starts[hash];
        recordReader(entry.readers, process, now);
        entry.usedAt = now;
        sent.uses.emplace_back(hash, now);
    }
    forgetOldest(sent);
}

std::vector<PromptHolder> findHolders(const SentPrompts &sent, const kernel::ServiceName &service,
                                      const std::string &model,
                                      const std::vector<PromptPart> &parts, kernel::Instant now)
{
    std::vector<PromptHolder> holders;
    std::uint64_t hash = hashStart(service, model);
    double tokens = 0;
    for (std::size_t i = 0; i < countShared(parts); ++i) {
        hash = kernel::hash64(parts[i].id, hash);
        tokens += static_cast<double>(parts[i].tokens);
        const auto entry = sent.starts.find(hash);
        if (entry == sent.starts.end())
            break;
        for (const SentPrompts::Reader &reader : entry->second.readers) {
            const double kept = keptShare(now - reader.at);
            const auto known = std::ranges::find(holders, reader.process, &PromptHolder::process);
            if (known == holders.end())
                holders.push_back({ reader.process, tokens * kept });
            else
                known->tokens = std::max(known->tokens, tokens * kept);
        }
    }
    return holders;
}

double sharedTokens(const std::vector<PromptPart> &parts)
{
    double tokens = 0;
    for (std::size_t i = 0; i < countShared(parts); ++i)
        tokens += static_cast<double>(parts[i].tokens);
    return tokens;
}

} // namespace acaciasail::forwarding
