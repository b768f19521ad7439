#ifndef DRAGONFLYLOCK_HTTP_MESSAGECODEC_H
#define DRAGONFLYLOCK_HTTP_MESSAGECODEC_H

#include "http/httptypes.h"

#include <string>

namespace dragonflylock::messagecodec {

/// \returns \p Answer as text, whatever bytes its parts hold.
std::string encode(const HttpAnswer &Answer);
/// \returns the answer of such a text; throws nlohmann::json::exception, as
/// the codecs that use it handle it for the whole row.
HttpAnswer decodeAnswer(const std::string &Text);

/// \returns \p Request as text, whatever bytes its parts hold.
std::string encode(const HttpRequest &Request);
/// \returns the request of such a text; throws as decodeAnswer() does.
HttpRequest decodeRequest(const std::string &Text);

} // namespace dragonflylock::messagecodec

#endif
