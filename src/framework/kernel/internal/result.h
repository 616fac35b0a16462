#pragma once

#include <exception>
#include <functional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include "kernel/internal/resultcodes.h"

namespace acaciasail::kernel {

/// What went wrong: a numbered code and a sentence that names the thing at fault.
struct Error
{
    ResultCode code = ResultCode::InternalError;
    std::string message;
};

/// The result of a call that ends before it returns.
template<class T>
using Result = boost::leaf::result<T>;

/// Makes the failed result of a call.
inline boost::leaf::error_id fail(ResultCode code, std::string message)
{
    return boost::leaf::new_error(Error{ code, std::move(message) });
}

/// The value of a call that has nothing to return.
struct Done
{};

/// The outcome of a call that ends later: a value or an error, which outlives the failing scope.
template<class T>
class Completion
{
public:
    Completion(T value)
        : m_state(std::move(value))
    {}
    Completion(Error error)
        : m_state(std::move(error))
    {}

    bool ok() const { return std::holds_alternative<T>(m_state); }
    explicit operator bool() const { return ok(); }

    const T &value() const { return std::get<T>(m_state); }
    T &value() { return std::get<T>(m_state); }
    const Error &error() const { return std::get<Error>(m_state); }

private:
    std::variant<T, Error> m_state;
};

/// Receives the outcome of a call that ends later; it is called once.
template<class T>
using Callback = std::function<void(Completion<T>)>;

/// The type of value that a Completion holds for a Result.
template<class ResultType>
struct CompletionValue;

template<class T>
struct CompletionValue<Result<T>>
{
    using Type = T;
};

template<>
struct CompletionValue<Result<void>>
{
    using Type = Done;
};

/// Runs a function that returns Result<T> and keeps its error as a value.
template<class Function>
auto capture(Function &&function)
{
    using Value = typename CompletionValue<std::decay_t<decltype(function())>>::Type;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Completion<Value>> {
            auto result = function();
            if (!result)
                return result.error();
            if constexpr (std::is_same_v<Value, Done>)
                return Completion<Value>(Done{});
            else
                return Completion<Value>(std::move(result.value()));
        },
        [](const Error &error) { return Completion<Value>(error); },
        [](const std::exception &exception) {
            return Completion<Value>(Error{ ResultCode::InternalError, exception.what() });
        },
        [] {
            return Completion<Value>(
                Error{ ResultCode::InternalError, "error without a description" });
        });
}

/// Makes the result of a call from an outcome kept as a value.
template<class T>
Result<T> toResult(Completion<T> completion)
{
    if (completion.ok())
        return std::move(completion.value());
    return fail(completion.error().code, completion.error().message);
}

} // namespace acaciasail::kernel
