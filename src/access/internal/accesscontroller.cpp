#include "access/accesscontroller.h"
#include "customers/customer.h"
#include "global/digest.h"

#include <cctype>

namespace dragonflylock {
namespace {

constexpr std::size_t KeyIdDigits = 8;
/// The share of the revocation delay that is left for clocks that run at
/// different rates: one part of this many.
constexpr int ClockMarginParts = 20;
constexpr std::string_view Scheme = "bearer";

std::string digestOfKey(std::string_view Key) { return digestOf({Key}); }

std::string keyIdOf(const std::string &Digest) {
  return Digest.substr(0, KeyIdDigits);
}

/// \returns the key in the value of an Authorization header, or nothing if the
///   value is not of the form "Bearer KEY".
std::optional<std::string_view> keyFrom(std::string_view Value) {
  if (Value.size() <= Scheme.size() || Value[Scheme.size()] != ' ')
    return std::nullopt;
  for (std::size_t Index = 0; Index < Scheme.size(); ++Index)
    if (std::tolower(static_cast<unsigned char>(Value[Index])) != Scheme[Index])
      return std::nullopt;
  std::string_view Key = Value.substr(Scheme.size());
  Key.remove_prefix(std::min(Key.find_first_not_of(' '), Key.size()));
  if (Key.empty() || Key.find(' ') != std::string_view::npos)
    return std::nullopt;
  return Key;
}

AccessDecision denied(AccessVerdict Verdict, AccessReason Reason,
                      std::string KeyId = {}) {
  AccessDecision Decision;
  Decision.Verdict_ = Verdict;
  Decision.Reason_ = Reason;
  Decision.KeyId_ = std::move(KeyId);
  return Decision;
}

} // namespace

const char *nameOf(AccessReason Reason) {
  switch (Reason) {
  case AccessReason::None:
    return "none";
  case AccessReason::MissingKey:
    return "missing-key";
  case AccessReason::Malformed:
    return "malformed";
  case AccessReason::UnknownKey:
    return "unknown-key";
  case AccessReason::ConfigurationOutdated:
    return "configuration-outdated";
  }
  return "none";
}

AccessController::AccessController(
    std::chrono::milliseconds ConfigurationDelay,
    std::optional<std::chrono::milliseconds> RevocationDelay)
    : ConfigurationDelay_(ConfigurationDelay) {
  if (RevocationDelay)
    KeyLifetime_ = *RevocationDelay - *RevocationDelay / ClockMarginParts;
}

std::vector<std::string>
AccessController::setCustomers(const std::vector<Customer> &Customers) {
  std::vector<std::string> Problems;
  CustomersByKey_.clear();
  for (const Customer &Each : Customers)
    for (const std::string &Key : Each.Keys_) {
      std::string Digest = digestOfKey(Key);
      auto [Found, IsNew] = CustomersByKey_.try_emplace(Digest, Each.Name_);
      if (!IsNew && Found->second != Each.Name_)
        Problems.push_back("key " + keyIdOf(Digest) + " of customer " +
                           Each.Name_ + " belongs to customer " +
                           Found->second);
    }
  return Problems;
}

bool AccessController::isProvenWithin(std::chrono::milliseconds Age,
                                      TimePoint Now) const {
  return Now <= Proof_.AsOf_ + Age;
}

AccessDecision
AccessController::decide(const std::vector<std::string_view> &Authorization,
                         TimePoint Now) const {
  if (Authorization.empty())
    return denied(AccessVerdict::Unauthorized, AccessReason::MissingKey);
  // With several keys it would depend on their order whose call it is.
  auto Key =
      Authorization.size() == 1 ? keyFrom(Authorization.front()) : std::nullopt;
  if (!Key)
    return denied(AccessVerdict::Unauthorized, AccessReason::Malformed);
  const std::string Digest = digestOfKey(*Key);
  const std::string KeyId = keyIdOf(Digest);
  auto Found = CustomersByKey_.find(Digest);
  if (Found == CustomersByKey_.end()) {
    if (isProvenWithin(ConfigurationDelay_, Now))
      return denied(AccessVerdict::Unauthorized, AccessReason::UnknownKey,
                    KeyId);
    return denied(AccessVerdict::Unproven, AccessReason::ConfigurationOutdated,
                  KeyId);
  }
  if (KeyLifetime_ && !isProvenWithin(*KeyLifetime_, Now))
    return denied(AccessVerdict::Unproven, AccessReason::ConfigurationOutdated,
                  KeyId);
  AccessDecision Granted;
  Granted.Customer_ = Found->second;
  Granted.KeyId_ = KeyId;
  return Granted;
}

} // namespace dragonflylock
