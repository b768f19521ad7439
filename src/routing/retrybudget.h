#ifndef DRAGONFLYLOCK_ROUTING_RETRYBUDGET_H
#define DRAGONFLYLOCK_ROUTING_RETRYBUDGET_H

namespace dragonflylock {

/// Limits retries to a share of requests, so that retries cannot multiply
/// the load on endpoints that fail.
class RetryBudget {
public:
  /// Credits one first attempt.
  /// \param Share retries for each request, between 0 and 1.
  void onRequest(double Share);
  /// \returns whether a retry is covered; if so, it is charged.
  bool tryRetry();

private:
  double Credit_ = 0;
};

} // namespace dragonflylock

#endif
