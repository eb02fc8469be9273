#pragma once

#include <exception>
#include <type_traits>
#include <utility>
#include <variant>

namespace flamingoseam {

/// The result of a call that doesn't block: a value, or the exception with which the call failed.
template <typename Value> class call_result {
public:
    /// Implicit, like the second one, so that a result can be returned as what it holds.
    call_result(Value value) : content_(std::move(value)) {}
    call_result(std::exception_ptr failure) : content_(std::move(failure)) {}

    /// Moves the value out, or throws the exception.
    Value take()
    {
        if (const auto* failure = std::get_if<std::exception_ptr>(&content_)) {
            std::rethrow_exception(*failure);
        }
        return std::move(std::get<Value>(content_));
    }

private:
    std::variant<Value, std::exception_ptr> content_;
};

/// Returns the result of `function()`, which may be an exception of any type.
template <typename Function>
call_result<std::invoke_result_t<const Function&>> result_of(const Function& function) noexcept
{
    try {
        return function();
    } catch (...) {
        return std::current_exception();
    }
}

} // namespace flamingoseam
