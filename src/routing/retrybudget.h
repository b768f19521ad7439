#ifndef DRAGONFLYLOCK_ROUTING_RETRYBUDGET_H
#define DRAGONFLYLOCK_ROUTING_RETRYBUDGET_H

namespace dragonflylock {

/// Limits retries to a share of the requests, so that retries cannot multiply
/// the load on failing endpoints.
class RetryBudget {
public:
  /// Adds credit for the first attempt of a request.
  /// \param Share retries allowed per request, between 0 and 1.
  void onRequest(double Share);
  /// Charges one retry if the credit covers it.
  /// \returns whether the retry is allowed.
  bool tryRetry();

private:
  double Credit_ = 0;
};

} // namespace dragonflylock

#endif
