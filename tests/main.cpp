#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <sodium.h>

int main(int argc, char** argv)
{
    if (sodium_init() < 0) {
        return 1;
    }
    return Catch::Session().run(argc, argv);
}
