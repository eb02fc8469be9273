#include "flamingoseam/node/ownership_proof.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::node;

TEST_CASE("a proof of ownership is as old as its call and is not replaced by an older one")
{
    const auto start = boot_now();
    ownership_proof proof(start, proof_source::claim);
    CHECK(proof.is_recent(start + max_proof_age - milliseconds(1)));
    CHECK_FALSE(proof.is_recent(start + max_proof_age));

    proof.record(start + milliseconds(500), proof_source::commit);
    proof.record(start + milliseconds(400), proof_source::read);
    CHECK(proof.source() == proof_source::commit);
    CHECK(proof.age(start + milliseconds(700)) == milliseconds(200));
    CHECK(proof.is_recent(start + max_proof_age));
}

TEST_CASE("an owner whose claim was sent at an unknown time has no recent proof")
{
    const ownership_proof proof({}, proof_source::claim);
    CHECK_FALSE(proof.is_recent(boot_now() + max_proof_age));
}

TEST_CASE("a successor waits for longer than a proof is valid, by a clock that is 2 % fast, too")
{
    CHECK(scaled(max_earlier_certainty, 0.98) > max_proof_age);
}
