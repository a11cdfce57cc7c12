#include "beamhill/placement/interference_model.h"

#include <algorithm>
#include <boost/numeric/ublas/lu.hpp>
#include <boost/numeric/ublas/matrix.hpp>
#include <boost/numeric/ublas/vector.hpp>
#include <cmath>

namespace beamhill {
namespace {

namespace ublas = boost::numeric::ublas;
using Matrix = ublas::matrix<double>;
using Vector = ublas::vector<double>;

// Indices of features: the intercept, the sum of all shares, then one per
// class.
constexpr size_t kIntercept = 0;
constexpr size_t kTotalShare = 1;
constexpr size_t kFirstClass = 2;
// Further classes are covered by the shared weight only.
constexpr size_t kMaxClasses = 24;

// Discount of earlier observations by each new one. Half of an observation's
// weight is left after some 1,400, which is a few minutes in a cell.
constexpr double kForgettingFactor = 0.9995;
// Prior precision of the intercept, which is almost unconstrained.
constexpr double kInterceptPrior = 1e-3;
// In units of the first latency observed.
constexpr double kMinPrediction = 0.01;

}  // namespace

struct InterferenceModel::Impl {
  explicit Impl(const InterferencePriors& p) : priors(p) {}

  InterferencePriors priors;
  std::map<std::string, size_t> classes;
  // Discounted sums of scaled feature products and of scaled features times
  // latency; the prior is added when solving.
  Matrix products = ublas::zero_matrix<double>(kFirstClass, kFirstClass);
  Vector targets = ublas::zero_vector<double>(kFirstClass);
  Vector weights = ublas::zero_vector<double>(kFirstClass);
  Matrix covariance = ublas::identity_matrix<double>(kFirstClass);
  double squared_error = 0.1;  // Smoothed, of scaled residuals.
  size_t samples = 0;
  bool stale = false;  // Observations are missing from `weights`.
  // The first latency observed. Latencies are in this unit, so that the prior
  // means the same for services of any speed.
  double unit_us = 1;

  Duration FromUnits(double units) const {
    return Duration(static_cast<Duration::rep>(std::lround(units * unit_us)));
  }

  size_t size() const { return kFirstClass + classes.size(); }

  void AddClass(const std::string& name) {
    if (classes.count(name) > 0 || classes.size() >= kMaxClasses) return;
    const size_t index = size();
    classes[name] = index;
    Grow(products);
    targets.resize(index + 1, true);
    targets(index) = 0;
    Solve();
  }

  static void Grow(Matrix& m) {
    const size_t n = m.size1();
    m.resize(n + 1, n + 1, true);
    for (size_t i = 0; i <= n; ++i) m(i, n) = m(n, i) = 0;
  }

  Vector Features(const ClassLoads& loads) const {
    Vector x = ublas::zero_vector<double>(size());
    x(kIntercept) = 1;
    for (const auto& [name, share] : loads) {
      x(kTotalShare) += share;
      const auto it = classes.find(name);
      if (it != classes.end()) x(it->second) = share;
    }
    return x;
  }

  void Solve() {
    stale = false;
    Matrix m = products;
    m(kIntercept, kIntercept) += kInterceptPrior;
    m(kTotalShare, kTotalShare) += priors.shared;
    for (size_t i = kFirstClass; i < size(); ++i) m(i, i) += priors.per_class;
    ublas::permutation_matrix<size_t> pivots(m.size1());
    if (ublas::lu_factorize(m, pivots) != 0) return;
    covariance = ublas::identity_matrix<double>(m.size1());
    ublas::lu_substitute(m, pivots, covariance);
    weights = ublas::prod(covariance, targets);
  }
};

InterferenceModel::InterferenceModel(const InterferencePriors& priors)
    : impl_(std::make_unique<Impl>(priors)) {}
InterferenceModel::~InterferenceModel() = default;

void InterferenceModel::Observe(const ClassLoads& loads, Duration latency) {
  Impl& m = *impl_;
  for (const auto& [name, share] : loads) m.AddClass(name);
  const Vector x = m.Features(loads);
  if (m.samples == 0) {
    m.unit_us = std::max(1.0, static_cast<double>(latency.count()));
  }
  const double y = static_cast<double>(latency.count()) / m.unit_us;
  const double predicted = ublas::inner_prod(x, m.weights);
  // Noise grows with latency, so each observation is scaled by its prediction.
  const double scale =
      std::max({predicted, m.samples == 0 ? y : 0, kMinPrediction});
  const double residual = (y - predicted) / scale;
  m.products *= kForgettingFactor;
  m.targets *= kForgettingFactor;
  m.products += ublas::outer_prod(x, x) / (scale * scale);
  m.targets += x * (y / (scale * scale));
  if (m.samples > m.priors.refit_interval) {
    m.squared_error +=
        0.01 * (std::min(residual * residual, 1.0) - m.squared_error);
  }
  m.stale = true;
  if (++m.samples % m.priors.refit_interval == 0 ||
      m.samples < m.priors.refit_interval) {
    m.Solve();
  }
}

bool InterferenceModel::Refit() {
  if (!impl_->stale) return false;
  impl_->Solve();
  return true;
}

Duration InterferenceModel::Mean(const ClassLoads& loads) const {
  const Impl& m = *impl_;
  double mean = m.weights(kIntercept);
  for (const auto& [name, share] : loads) {
    mean += share * m.weights(kTotalShare);
    const auto it = m.classes.find(name);
    if (it != m.classes.end()) mean += share * m.weights(it->second);
  }
  return m.FromUnits(std::max(kMinPrediction, mean));
}

InterferenceModel::Prediction InterferenceModel::Predict(
    const ClassLoads& loads) const {
  const Vector x = impl_->Features(loads);
  const Vector cx = ublas::prod(impl_->covariance, x);
  const double variance =
      impl_->squared_error * std::max(0.0, ublas::inner_prod(x, cx));
  return {Mean(loads), impl_->FromUnits(std::sqrt(variance))};
}

Duration InterferenceModel::WeightOf(const std::string& work_class) const {
  double weight = impl_->weights(kTotalShare);
  const auto it = impl_->classes.find(work_class);
  if (it != impl_->classes.end()) weight += impl_->weights(it->second);
  return impl_->FromUnits(weight);
}

size_t InterferenceModel::samples() const { return impl_->samples; }

}  // namespace beamhill
