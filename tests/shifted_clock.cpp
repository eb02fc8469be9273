#include "tests/shifted_clock.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <stdexcept>

namespace flamingoseam {

namespace {

std::int64_t* map_offset(const std::string& file)
{
    const int descriptor = ::open(file.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    const bool is_sized = descriptor >= 0 && ::ftruncate(descriptor, sizeof(std::int64_t)) == 0;
    void* const memory = is_sized ? ::mmap(nullptr, sizeof(std::int64_t), PROT_READ | PROT_WRITE,
                                           MAP_SHARED, descriptor, 0)
                                  : MAP_FAILED;
    if (descriptor >= 0) {
        ::close(descriptor);
    }
    if (memory == MAP_FAILED) {
        throw std::runtime_error("can't map the clock's offset in " + file);
    }
    return static_cast<std::int64_t*>(memory);
}

} // namespace

shifted_clock::shifted_clock(const std::string& file)
    : file_(std::filesystem::absolute(file)), offset_(map_offset(file_))
{
}

shifted_clock::~shifted_clock()
{
    ::munmap(offset_, sizeof(std::int64_t));
}

void shifted_clock::set_offset(milliseconds offset)
{
    std::atomic_ref(*offset_).store(std::chrono::nanoseconds(offset).count());
}

std::vector<std::string> shifted_clock::environment(const std::string& library) const
{
    return {"LD_PRELOAD=" + std::filesystem::absolute(library).string(),
            std::string(clock_offset_variable) + "=" + file_};
}

} // namespace flamingoseam
