// A single-threaded libevent loop with RAII timers and signal handlers.
//
//   Result<std::unique_ptr<EventLoop>> loop = EventLoop::Create();
//   Timer tick = ValueOf(loop)->Every(std::chrono::seconds(1), [] { ... });
//   ValueOf(loop)->Run();
#ifndef BEAMHILL_EVENT_EVENT_LOOP_H_
#define BEAMHILL_EVENT_EVENT_LOOP_H_

#include <sys/time.h>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "beamhill/base/error.h"
#include "beamhill/base/time.h"

struct event_base;

namespace beamhill {

// The duration as libevent takes it.
timeval ToTimeval(Duration d);

// An armed timer or signal handler. Destroying it disarms it.
class Timer {
 public:
  struct State;

  Timer();
  explicit Timer(std::unique_ptr<State> state);
  Timer(Timer&& other) noexcept;
  Timer& operator=(Timer&& other) noexcept;
  ~Timer();

  // Disarms the timer. May be called from its own callback.
  void Cancel();

 private:
  std::unique_ptr<State> state_;
};

// Runs callbacks on the thread that calls Run. Must outlive its timers.
class EventLoop {
 public:
  // Creates a loop and makes the whole process ignore SIGPIPE, so that a write
  // to a closed socket returns an error. Fails with kInternal if libevent does.
  static Result<std::unique_ptr<EventLoop>> Create();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs `callback` once after `delay`.
  [[nodiscard]] Timer After(Duration delay, std::function<void()> callback);
  // Runs `callback` every `period`, first after one period.
  [[nodiscard]] Timer Every(Duration period, std::function<void()> callback);
  // Runs `callback` each time the process receives `signal_number`.
  [[nodiscard]] Timer OnSignal(int signal_number,
                               std::function<void()> callback);

  // Destroys the object once the callback that is running has returned, or with
  // the loop. For objects that may be discarded in callbacks of their own.
  template <typename T>
  void DestroyLater(std::unique_ptr<T> object) {
    AddDiscarded(std::shared_ptr<void>(std::shared_ptr<T>(std::move(object))));
  }

  // Runs until Stop is called.
  void Run();
  // Makes Run return after the callback that is running.
  void Stop();

  // The libevent base, for libraries that integrate with libevent.
  event_base* base() const { return base_; }

 private:
  explicit EventLoop(event_base* base) : base_(base) {}
  void AddDiscarded(std::shared_ptr<void> object);
  void DestroyDiscarded();

  event_base* base_;
  std::vector<std::shared_ptr<void>> discarded_;  // See DestroyLater.
  Timer destroy_timer_;
};

}  // namespace beamhill

#endif  // BEAMHILL_EVENT_EVENT_LOOP_H_
