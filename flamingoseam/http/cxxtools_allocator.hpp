#pragma once

#include <cstddef>
#include <memory>

namespace cxxtools {
class Char;
}

/// Restores, for the character type of cxxtools, the members of std::allocator that C++20 removed
/// and that the string class of cxxtools 3.0 still uses. It allocates in the same way as the
/// primary template. The build includes this header before all others.
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
