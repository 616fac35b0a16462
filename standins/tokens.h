#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace acaciasail::standins {

/// What a runner reads from the body of a completion.
struct CompletionRequest
{
    bool valid = false;
    std::string version;
    bool stream = false;
    /// 0 if the request sets none.
    int maxTokens = 0;
    int priority = 1;
    /// Tokens that the caller has already.
    int resumeTokens = 0;
    /// Texts of all messages together.
    std::string text;
    /// Hash of role and content of the first message, in hexadecimal; the cached prefix.
    std::string prefix;
};

CompletionRequest parseCompletion(const std::string &body);

/// The mark of an answer, a short hash of the request's messages.
std::string answerMark(std::string_view text);

/// Token number `index` of the answer with a mark. The same request gets the same tokens from each
/// runner, so that a test can tell whether a token was lost or doubled.
std::string answerToken(const std::string &mark, int index);

/// Tokens of a prompt.
int promptTokens(std::string_view text);

} // namespace acaciasail::standins
