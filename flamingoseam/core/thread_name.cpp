#include "flamingoseam/core/thread_name.hpp"

namespace flamingoseam {

namespace {

thread_local const char* current_name = "main";

} // namespace

void set_thread_name(const char* name) noexcept
{
    current_name = name;
}

const char* thread_name() noexcept
{
    return current_name;
}

} // namespace flamingoseam
