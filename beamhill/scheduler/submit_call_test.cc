#include "beamhill/scheduler/submit_call.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using R = SubmitResult;
using W = SubmitWay;

const OwnerReach kServing = {true, milliseconds(100), milliseconds(300)};
const OwnerReach kUnheard = {true, milliseconds(600), milliseconds(300)};
const OwnerReach kCutOff = {true, milliseconds(100), milliseconds(1200)};
const OwnerReach kNone = {};
constexpr Duration kSoon = milliseconds(50);
constexpr Duration kLong = milliseconds(2500);

// A slow table takes some transactions a second from all schedulers together.
TEST(SubmitCallTest, OwnerThatIsThereStoresForAllAndNobodyElseWrites) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kServing, kSoon), W::kOwner);
  EXPECT_EQ(call.Next(kServing, kSoon), std::nullopt);
  EXPECT_EQ(call.outcome(), std::nullopt);
  call.OnResult(W::kOwner, R::kAccepted);
  EXPECT_EQ(call.outcome(), R::kAccepted);
  EXPECT_EQ(call.Next(kNone, kSoon), std::nullopt);
}

TEST(SubmitCallTest, OwnerThatFallsSilentIsNotWaitedFor) {
  for (const OwnerReach& owner : {kUnheard, kCutOff, kNone}) {
    SubmitCall call;
    EXPECT_EQ(call.Next(kServing, kSoon), W::kOwner);
    EXPECT_EQ(call.Next(owner, kSoon), W::kHere);
    call.OnResult(W::kHere, R::kAlreadyStored);
    EXPECT_EQ(call.outcome(), R::kAlreadyStored);
  }
}

TEST(SubmitCallTest, WithoutAnOwnerItIsStoredHere) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kNone, kSoon), W::kHere);
  call.OnResult(W::kHere, R::kAccepted);
  EXPECT_EQ(call.outcome(), R::kAccepted);
}

TEST(SubmitCallTest, OwnerThatComesBackIsAskedAfterATableThatTurnsUsAway) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kUnheard, kSoon), W::kHere);
  EXPECT_EQ(call.Next(kServing, kSoon), std::nullopt);
  call.OnResult(W::kHere, R::kRefused);
  EXPECT_EQ(call.Next(kServing, kSoon), W::kOwner);
}

struct Case {
  std::optional<R> owner;
  std::optional<R> here;
  R outcome;
};

// Refused means that it was stored by neither, and never will be.
TEST(SubmitCallTest, OnlyRefusalsMakeARefusal) {
  for (const Case& c : {Case{R::kRefused, R::kRefused, R::kRefused},
                        Case{R::kRefused, R::kUnknown, R::kUnknown},
                        Case{R::kUnknown, R::kRefused, R::kUnknown},
                        Case{R::kRefused, R::kAccepted, R::kAccepted},
                        Case{R::kUnknown, R::kAlreadyStored, R::kAlreadyStored},
                        Case{std::nullopt, R::kRefused, R::kUnknown}}) {
    SubmitCall call;
    EXPECT_EQ(call.Next(kServing, kSoon), W::kOwner);
    if (c.owner) {
      call.OnResult(W::kOwner, *c.owner);
    } else {
      call.OnOwnerLost();
    }
    EXPECT_EQ(call.Next(kNone, kSoon), W::kHere);
    call.OnResult(W::kHere, *c.here);
    EXPECT_EQ(call.Next(kNone, kLong), std::nullopt);
    EXPECT_EQ(call.outcome(), c.outcome);
  }
}

// The table turns the owner away, and this scheduler as well: callers waited
// until their deadline though there was a new owner after 1.5 s.
TEST(SubmitCallTest, NextOwnerIsAskedWhereBothWereTurnedAway) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kServing, kSoon), W::kOwner);
  EXPECT_EQ(call.Next(kCutOff, milliseconds(900)), W::kHere);
  call.OnOwnerLost();
  EXPECT_EQ(call.Next(kNone, milliseconds(1000)), std::nullopt);
  EXPECT_EQ(call.Next(kServing, milliseconds(1500)), W::kOwner);
  call.OnResult(W::kOwner, R::kAccepted);
  EXPECT_EQ(call.outcome(), R::kAccepted);
}

TEST(SubmitCallTest, OneThatMayBeStoredWaitsForTheNextOwnerButNotForLong) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kServing, kSoon), W::kOwner);
  call.OnOwnerLost();
  EXPECT_EQ(call.Next(kNone, kSoon), W::kHere);
  call.OnResult(W::kHere, R::kRefused);
  EXPECT_EQ(call.Next(kNone, kSoon), std::nullopt);
  EXPECT_EQ(call.outcome(), std::nullopt);
  EXPECT_EQ(call.Next(kNone, kLong), std::nullopt);
  EXPECT_EQ(call.outcome(), R::kUnknown);
}

// The caller can come again.
TEST(SubmitCallTest, WhatIsCertainlyNotStoredIsRefusedAtOnce) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kNone, kSoon), W::kHere);
  call.OnResult(W::kHere, R::kRefused);
  EXPECT_EQ(call.Next(kNone, kSoon), std::nullopt);
  EXPECT_EQ(call.outcome(), R::kRefused);
}

TEST(SubmitCallTest, RefusalHereWaitsForTheOwnersAnswer) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kServing, kSoon), W::kOwner);
  EXPECT_EQ(call.Next(kUnheard, kSoon), W::kHere);
  call.OnResult(W::kHere, R::kRefused);
  EXPECT_EQ(call.Next(kUnheard, kSoon), std::nullopt);
  EXPECT_EQ(call.outcome(), std::nullopt);
  call.OnResult(W::kOwner, R::kAccepted);
  EXPECT_EQ(call.outcome(), R::kAccepted);
}

}  // namespace
}  // namespace beamhill
