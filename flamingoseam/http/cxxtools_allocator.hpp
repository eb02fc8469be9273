#pragma once

#include <cstddef>
#include <memory>

namespace cxxtools {
class Char;
}

/// The string class of cxxtools 3.0 names members of std::allocator that C++20 has removed. This
/// specialisation for its character type brings them back; it allocates as the general one does.
/// The build includes it before everything else.
template <> class std::allocator<cxxtools::Char> {
public:
    using value_type = cxxtools::Char;
    using pointer = value_type*;
    using const_pointer = const value_type*;
    using reference = value_type&;
    using const_reference = const value_type&;
    using size_type = std::size_t;
    using difference_type = std::ptrdiff_t;

    allocator() = default;
    template <typename Other> explicit allocator(const std::allocator<Other>& /*other*/) noexcept {}

    template <typename Value = value_type> Value* allocate(size_type count)
    {
        return static_cast<Value*>(::operator new(count * sizeof(Value)));
    }

    void deallocate(pointer storage, size_type /*count*/) noexcept { ::operator delete(storage); }

    friend bool operator==(const allocator& /*left*/, const allocator& /*right*/) noexcept
    {
        return true;
    }
};
