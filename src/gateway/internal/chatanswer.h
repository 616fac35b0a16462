#pragma once

#include <string>
#include <string_view>

#include "kernel/kernel.h"
#include "upstreams/upstreams.h"

namespace acaciasail::gateway {

/// The metadata that every chunk of an answer contains.
struct AnswerMetadata
{
    kernel::RequestId request;
    kernel::VersionId version;
    kernel::WallTime created;
};

/// Formats the chunks of a streamed answer as server-sent events.
class ChunkFormatter
{
public:
    explicit ChunkFormatter(const AnswerMetadata &metadata);

    /// Returns the first event of the answer, which contains the role.
    std::string first() const;
    /// Returns an event with a piece of text.
    std::string text(std::string_view text) const;
    /// Returns the event that ends the text, followed by an event with the usage if `includeUsage`
    /// is set.
    std::string last(const std::string &finishReason, const upstreams::Usage &usage,
                     bool includeUsage) const;

private:
    std::string m_prefix;
};

/// The event that terminates a stream.
constexpr std::string_view streamEnd = "data: [DONE]\n\n";

/// Returns an event that reports an error within a stream.
std::string errorEvent(const std::string &errorBody);

/// Returns the body of a complete answer that is not streamed.
std::string formatAnswer(const AnswerMetadata &metadata, const std::string &text,
                         const std::string &finishReason, const upstreams::Usage &usage);

/// Converts the body of a complete answer to a stream with a single chunk.
std::string formatAnswerAsStream(const std::string &body);

} // namespace acaciasail::gateway
