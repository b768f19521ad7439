#ifndef DRAGONFLYLOCK_FORECAST_TURNFORECAST_H
#define DRAGONFLYLOCK_FORECAST_TURNFORECAST_H

#include "global/iclock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace dragonflylock {

/// A demand peak. Times are since 1970.
struct Turn {
  std::chrono::milliseconds Begin_{0};
  std::chrono::milliseconds Length_{0};
  /// Mean work that arrives per second during the peak, in machine-seconds.
  double Height_ = 0;

  std::chrono::milliseconds end() const { return Begin_ + Length_; }
};

/// Learns the period, phase and height of the peaks ("turns") of a load whose
/// demand peaks regularly, such as that of queues that peak in turn for 4 s of
/// every 16 s, and predicts the next one. Predicts nothing for other loads.
///
/// Arrivals are dated by wall-clock time, because the state outlives the
/// process that learned it and processes have different steady clocks.
class TurnForecast {
public:
  /// What a call of record() has changed.
  enum class Change { None, Found, Dropped };

  /// \returns the forecast that encode() has encoded; std::nullopt if the text
  ///   is invalid, or if \p Wall contradicts the time of encoding, so that the
  ///   clocks of the two processes differ too much.
  static std::optional<TurnForecast> decode(const std::string &Text,
                                            std::chrono::milliseconds Wall);
  /// \returns the pattern as text of at most 90 bytes; empty if there is
  ///   neither a pattern nor a candidate of one. Changes at most twice per
  ///   peak.
  std::string encode() const;

  /// Sets the height below which a peak is ignored, in machine-seconds per
  /// second.
  void setMinHeight(double Value) { MinHeight_ = Value; }
  /// Records work that has arrived since the last call. Must also be called
  /// without new work, several times per second.
  /// \param Wall time since 1970.
  /// \param Now the same moment on the steady clock, which reveals jumps of the
  ///   wall clock.
  /// \param Work machine-seconds.
  Change record(std::chrono::milliseconds Wall, TimePoint Now, double Work);

  /// \returns whether turns are predicted.
  bool isKnown() const;
  /// \returns whether at least three peaks fit the pattern, one of which this
  ///   object has observed at its predicted time.
  bool isConfirmed() const;
  /// \returns the turn that takes place at \p Wall, or else the next one;
  ///   std::nullopt if no pattern is known.
  std::optional<Turn> turnAt(std::chrono::milliseconds Wall) const;
  /// \returns the time between the begins of two turns; 0 if not known.
  std::chrono::milliseconds period() const { return Period_; }
  /// \returns the work that arrived per second in the last complete bucket of
  ///   0.5 s if a peak is taking place, in machine-seconds; 0 otherwise.
  double peakRate() const { return Open_ ? PreviousRate_ : 0; }

private:
  /// A peak that has not ended.
  struct OpenPeak {
    std::chrono::milliseconds Begin_{0};
    double Work_ = 0;
    /// Work per second in the first bucket.
    double FirstRate_ = 0;
    /// Mean work per second between the last peak and this one.
    double GapRate_ = 0;
    /// Since when the rate has been low; absent while it is high.
    std::optional<std::chrono::milliseconds> LowSince_;
    /// Work since then.
    double LowWork_ = 0;
    /// Whether the begin was observed.
    bool IsDated_ = false;
    /// Whether the peak began at its predicted time.
    bool IsMatch_ = false;
    /// Whether the peak is not part of what is learned.
    bool IsIgnored_ = false;
  };

  bool hasClockJumped(std::chrono::milliseconds Wall, TimePoint Now);
  /// Forgets what was observed, but not the pattern.
  void restartObservation(std::chrono::milliseconds Wall);
  void dropPattern();
  void closeBuckets(std::int64_t Current);
  void closeBucket();
  void beginPeak(double Rate, double Smoothed);
  void continuePeak(double Rate, double Smoothed);
  void endPeak();
  /// Compares the begin of a peak to the prediction.
  void matchBegin(OpenPeak &Peak);
  void learnFirstPeaks(const Turn &Ended, double GapRate);
  void learnFromMatch(const Turn &Ended, double GapRate);
  void dropIfMissed(std::chrono::milliseconds Wall);
  std::chrono::milliseconds tolerance() const;

  /// The last peak; meaningful if Peaks_ is above 0.
  Turn Last_;
  std::chrono::milliseconds Period_{0};
  /// Number of peaks that fit the pattern; 1 if there is one peak and no
  /// period.
  std::uint32_t Peaks_ = 0;
  /// Whether a pattern has broken, so that the next one needs three peaks.
  bool HasBroken_ = false;
  /// When the last peak ended, which is when the state last changed.
  std::chrono::milliseconds ChangedAt_{0};

  double MinHeight_ = 1;
  std::optional<std::chrono::milliseconds> ClockOffset_;
  std::optional<std::chrono::milliseconds> ObservedSince_;
  std::int64_t Bucket_ = 0;
  double BucketWork_ = 0;
  double PreviousRate_ = 0;
  /// The highest recent rate, which decays.
  double Ceiling_ = 0;
  std::optional<OpenPeak> Open_;
  /// Work since the last peak that was not ignored.
  double GapWork_ = 0;
  /// Predicted peaks in a row that were not observed from their begin.
  std::uint32_t Unobserved_ = 0;
  /// Peaks that this object has observed at their predicted times.
  std::uint32_t Matches_ = 0;
};

} // namespace dragonflylock

#endif
