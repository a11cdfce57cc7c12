#include "beamhill/dispatch/capacity_reservations.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

CapacityReservation Reservation(const TaskRef& task, const Resources& amount) {
  CapacityReservation reservation;
  reservation.task = task;
  reservation.amount = amount;
  return reservation;
}

TEST(CapacityReservationsTest, OtherStepsFitBesideTheReservation) {
  CapacityReservations reservations;
  const Resources free{3000, 1000, 0};
  EXPECT_TRUE(reservations.Admit("vm-1", free, "b", 0, {3000, 1000, 0}, false));
  reservations.Set("vm-1", Reservation({"a", 0, 1, 0}, {2000, 500, 1}));
  EXPECT_TRUE(reservations.Admit("vm-1", free, "a", 1, {3000, 1000, 0}, false));
  EXPECT_FALSE(reservations.Admit("vm-1", free, "a", 0, {1001, 100, 0}, false));
  EXPECT_FALSE(reservations.Admit("vm-1", free, "b", 1, {1000, 501, 0}, false));
  EXPECT_FALSE(reservations.Admit("vm-1", free, "b", 1, {1000, 500, 1}, false));
  EXPECT_TRUE(reservations.Admit("vm-1", free, "b", 1, {1000, 500, 0}, false));
  EXPECT_TRUE(reservations.Admit("vm-2", free, "b", 1, {3000, 1000, 0}, false));
}

TEST(CapacityReservationsTest, TasksThatAreDownUseWhatNothingWasStoppedFor) {
  CapacityReservations reservations;
  const Resources free{2000, 1000, 0};
  CapacityReservation reservation = Reservation({"a", 0, 0, 0}, {2000, 100, 0});
  reservations.Set("vm-1", reservation);
  EXPECT_FALSE(reservations.Admit("vm-1", free, "b", 0, {1000, 100, 0}, false));
  EXPECT_TRUE(reservations.Admit("vm-1", free, "b", 0, {1000, 100, 0}, true));
  reservation.firm = true;
  reservations.Set("vm-1", reservation);
  EXPECT_FALSE(reservations.Admit("vm-1", free, "b", 0, {1000, 100, 0}, true));
}

TEST(CapacityReservationsTest, TaskThatNeedsNoProcessorTimeTakesNone) {
  CapacityReservations reservations;
  reservations.Set("vm-1", Reservation({"a", 0, 0, 0}, {2000, 100, 0}));
  EXPECT_TRUE(
      reservations.Admit("vm-1", {0, 500, 0}, "b", 0, {0, 400, 0}, false));
}

}  // namespace
}  // namespace beamhill
