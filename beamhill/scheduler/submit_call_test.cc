#include "beamhill/scheduler/submit_call.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using R = SubmitResult;
using W = SubmitRoute;

const OwnerReachability kResponsive = {true, milliseconds(100),
                                       milliseconds(300)};
const OwnerReachability kNoHeartbeat = {true, milliseconds(600),
                                        milliseconds(300)};
const OwnerReachability kNoTableAnswer = {true, milliseconds(100),
                                          milliseconds(1200)};
const OwnerReachability kNoOwner = {};
constexpr Duration kShortWait = milliseconds(50);
constexpr Duration kLongWait = milliseconds(2500);

// A slow table takes some transactions a second from all schedulers together.
TEST(SubmitCallTest, OwnerThatIsThereStoresForAllAndNobodyElseWrites) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kResponsive, kShortWait), W::kOwner);
  EXPECT_EQ(call.Next(kResponsive, kShortWait), std::nullopt);
  EXPECT_EQ(call.outcome(), std::nullopt);
  call.OnResult(W::kOwner, R::kAccepted);
  EXPECT_EQ(call.outcome(), R::kAccepted);
  EXPECT_EQ(call.Next(kNoOwner, kShortWait), std::nullopt);
}

TEST(SubmitCallTest, OwnerThatFallsSilentIsNotWaitedFor) {
  for (const OwnerReachability& owner :
       {kNoHeartbeat, kNoTableAnswer, kNoOwner}) {
    SubmitCall call;
    EXPECT_EQ(call.Next(kResponsive, kShortWait), W::kOwner);
    EXPECT_EQ(call.Next(owner, kShortWait), W::kLocal);
    call.OnResult(W::kLocal, R::kAlreadyStored);
    EXPECT_EQ(call.outcome(), R::kAlreadyStored);
  }
}

TEST(SubmitCallTest, WithoutAnOwnerItIsStoredHere) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kNoOwner, kShortWait), W::kLocal);
  call.OnResult(W::kLocal, R::kAccepted);
  EXPECT_EQ(call.outcome(), R::kAccepted);
}

TEST(SubmitCallTest, OwnerThatComesBackIsAskedAfterATableThatTurnsUsAway) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kNoHeartbeat, kShortWait), W::kLocal);
  EXPECT_EQ(call.Next(kResponsive, kShortWait), std::nullopt);
  call.OnResult(W::kLocal, R::kRefused);
  EXPECT_EQ(call.Next(kResponsive, kShortWait), W::kOwner);
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
    EXPECT_EQ(call.Next(kResponsive, kShortWait), W::kOwner);
    if (c.owner) {
      call.OnResult(W::kOwner, *c.owner);
    } else {
      call.OnOwnerLost();
    }
    EXPECT_EQ(call.Next(kNoOwner, kShortWait), W::kLocal);
    call.OnResult(W::kLocal, *c.here);
    EXPECT_EQ(call.Next(kNoOwner, kLongWait), std::nullopt);
    EXPECT_EQ(call.outcome(), c.outcome);
  }
}

// The table turns the owner away, and this scheduler as well: callers waited
// until their deadline though there was a new owner after 1.5 s.
TEST(SubmitCallTest, NextOwnerIsAskedWhereBothWereTurnedAway) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kResponsive, kShortWait), W::kOwner);
  EXPECT_EQ(call.Next(kNoTableAnswer, milliseconds(900)), W::kLocal);
  call.OnOwnerLost();
  EXPECT_EQ(call.Next(kNoOwner, milliseconds(1000)), std::nullopt);
  EXPECT_EQ(call.Next(kResponsive, milliseconds(1500)), W::kOwner);
  call.OnResult(W::kOwner, R::kAccepted);
  EXPECT_EQ(call.outcome(), R::kAccepted);
}

TEST(SubmitCallTest, OneThatMayBeStoredWaitsForTheNextOwnerButNotForLong) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kResponsive, kShortWait), W::kOwner);
  call.OnOwnerLost();
  EXPECT_EQ(call.Next(kNoOwner, kShortWait), W::kLocal);
  call.OnResult(W::kLocal, R::kRefused);
  EXPECT_EQ(call.Next(kNoOwner, kShortWait), std::nullopt);
  EXPECT_EQ(call.outcome(), std::nullopt);
  EXPECT_EQ(call.Next(kNoOwner, kLongWait), std::nullopt);
  EXPECT_EQ(call.outcome(), R::kUnknown);
}

// The caller can come again.
TEST(SubmitCallTest, WhatIsCertainlyNotStoredIsRefusedAtOnce) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kNoOwner, kShortWait), W::kLocal);
  call.OnResult(W::kLocal, R::kRefused);
  EXPECT_EQ(call.Next(kNoOwner, kShortWait), std::nullopt);
  EXPECT_EQ(call.outcome(), R::kRefused);
}

TEST(SubmitCallTest, RefusalHereWaitsForTheOwnersAnswer) {
  SubmitCall call;
  EXPECT_EQ(call.Next(kResponsive, kShortWait), W::kOwner);
  EXPECT_EQ(call.Next(kNoHeartbeat, kShortWait), W::kLocal);
  call.OnResult(W::kLocal, R::kRefused);
  EXPECT_EQ(call.Next(kNoHeartbeat, kShortWait), std::nullopt);
  EXPECT_EQ(call.outcome(), std::nullopt);
  call.OnResult(W::kOwner, R::kAccepted);
  EXPECT_EQ(call.outcome(), R::kAccepted);
}

}  // namespace
}  // namespace beamhill
