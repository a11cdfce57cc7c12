#include "beamhill/event/event_loop.h"

#include <event2/event.h>

#include <csignal>
#include <utility>

namespace beamhill {

timeval ToTimeval(Duration d) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(d);
  const auto rest = d - seconds;
  return {static_cast<time_t>(seconds.count()),
          static_cast<suseconds_t>(rest.count())};
}

struct Timer::State {
  event* ev = nullptr;
  std::function<void()> callback;

  ~State() {
    if (ev != nullptr) event_free(ev);
  }

  static void Fire(evutil_socket_t, short, void* arg) {
    // Copied, since the callback may destroy its own timer.
    const std::function<void()> run = static_cast<State*>(arg)->callback;
    run();
  }
};

Timer::Timer() = default;
Timer::Timer(std::unique_ptr<State> state) : state_(std::move(state)) {}
Timer::Timer(Timer&& other) noexcept = default;
Timer& Timer::operator=(Timer&& other) noexcept = default;
Timer::~Timer() = default;

void Timer::Cancel() { state_.reset(); }

Result<std::unique_ptr<EventLoop>> EventLoop::Create() {
  // A write to a socket that the peer has closed must return an error instead
  // of raising a signal.
  signal(SIGPIPE, SIG_IGN);
  event_base* base = event_base_new();
  if (base == nullptr) {
    return Error{ErrorCode::kInternal, "cannot create an event loop",
                 "check the limit of open files (ulimit -n)"};
  }
  return std::unique_ptr<EventLoop>(new EventLoop(base));
}

EventLoop::~EventLoop() {
  while (!discarded_.empty()) DestroyDiscarded();
  destroy_timer_.Cancel();
  event_base_free(base_);
}

void EventLoop::AddDiscarded(std::shared_ptr<void> object) {
  if (discarded_.empty()) {
    destroy_timer_ = After(Duration(0), [this] { DestroyDiscarded(); });
  }
  discarded_.push_back(std::move(object));
}

void EventLoop::DestroyDiscarded() {
  // Emptied first, since a destructor may discard further objects.
  const auto discarded = std::exchange(discarded_, {});
}

Timer EventLoop::After(Duration delay, std::function<void()> callback) {
  auto state = std::make_unique<Timer::State>();
  state->callback = std::move(callback);
  state->ev = event_new(base_, -1, 0, &Timer::State::Fire, state.get());
  const timeval tv = ToTimeval(delay);
  event_add(state->ev, &tv);
  return Timer(std::move(state));
}

Timer EventLoop::Every(Duration period, std::function<void()> callback) {
  auto state = std::make_unique<Timer::State>();
  state->callback = std::move(callback);
  state->ev =
      event_new(base_, -1, EV_PERSIST, &Timer::State::Fire, state.get());
  const timeval tv = ToTimeval(period);
  event_add(state->ev, &tv);
  return Timer(std::move(state));
}

Timer EventLoop::OnSignal(int signal_number, std::function<void()> callback) {
  auto state = std::make_unique<Timer::State>();
  state->callback = std::move(callback);
  state->ev = event_new(base_, signal_number, EV_SIGNAL | EV_PERSIST,
                        &Timer::State::Fire, state.get());
  event_add(state->ev, nullptr);
  return Timer(std::move(state));
}

void EventLoop::Run() { event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::Stop() { event_base_loopbreak(base_); }

}  // namespace beamhill
