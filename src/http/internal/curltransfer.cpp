#include "http/internal/curltransfer.h"

#include <sys/socket.h>

#include <mutex>
#include <string_view>

namespace dragonflylock {
namespace {

void initializeOnce() {
  static std::once_flag Once;
  std::call_once(Once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

std::string_view withoutLineEnd(std::string_view Line) {
  while (!Line.empty() && (Line.back() == '\r' || Line.back() == '\n'))
    Line.remove_suffix(1);
  return Line;
}

} // namespace

CurlTransfer::CurlTransfer() {
  initializeOnce();
  Handle_.reset(curl_easy_init());
}

CurlTransfer &CurlTransfer::of(CURL *Handle) {
  char *Private = nullptr;
  curl_easy_getinfo(Handle, CURLINFO_PRIVATE, &Private);
  return *reinterpret_cast<CurlTransfer *>(Private);
}

std::size_t CurlTransfer::onBody(char *Data, std::size_t Size,
                                 std::size_t Count, void *Self) {
  auto *Transfer = static_cast<CurlTransfer *>(Self);
  std::size_t Length = Size * Count;
  std::string &Body = Transfer->Answer_.Body_;
  if (Body.size() + Length > Transfer->LargestAnswer_) {
    Transfer->IsTooLarge_ = true;
    return 0;
  }
  Body.append(Data, Length);
  return Length;
}

std::size_t CurlTransfer::onHeader(char *Data, std::size_t Size,
                                   std::size_t Count, void *Self) {
  auto *Transfer = static_cast<CurlTransfer *>(Self);
  std::string_view Line = withoutLineEnd({Data, Size * Count});
  HttpHeaders &Headers = Transfer->Answer_.Headers_;
  if (Line.empty())
    Transfer->IsHeadWhole_ = true;
  if (Line.starts_with("HTTP/")) {
    Transfer->IsHeadWhole_ = false;
    Headers.clear();
    return Size * Count;
  }
  auto Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return Size * Count;
  auto Value = Line.substr(Colon + 1);
  Value.remove_prefix(std::min(Value.find_first_not_of(" \t"), Value.size()));
  Headers.push_back({std::string(Line.substr(0, Colon)), std::string(Value)});
  return Size * Count;
}

bool CurlTransfer::mayContinue() {
  IsRepeated_ = WasSent_;
  return !IsRepeated_ || IsRead_;
}

int CurlTransfer::onConnect(void *Self, curl_socket_t Socket, curlsocktype) {
  if (!static_cast<CurlTransfer *>(Self)->mayContinue())
    return CURL_SOCKOPT_ERROR;
  // Otherwise the kernel goes on sending a request that was given up, and
  // delivers it when the way to the server is open again.
  const linger DiscardOnClose{/*l_onoff=*/1, /*l_linger=*/0};
  return setsockopt(Socket, SOL_SOCKET, SO_LINGER, &DiscardOnClose,
                    sizeof(DiscardOnClose)) == 0
             ? CURL_SOCKOPT_OK
             : CURL_SOCKOPT_ERROR;
}

int CurlTransfer::onSend(void *Self, char *, char *, int, int) {
  auto *Transfer = static_cast<CurlTransfer *>(Self);
  if (!Transfer->mayContinue())
    return CURL_PREREQFUNC_ABORT;
  Transfer->WasSent_ = true;
  return CURL_PREREQFUNC_OK;
}

void CurlTransfer::setMethod(const HttpRequest &Request) {
  CURL *Handle = Handle_.get();
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Request.Method_.c_str());
  IsHead_ = Request.Method_ == "HEAD";
  IsRead_ = IsHead_ || Request.Method_ == "GET";
  if (IsHead_) {
    curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
    return;
  }
  bool NeedsBody = !Request.Body_.empty() || Request.Method_ == "POST" ||
                   Request.Method_ == "PUT" || Request.Method_ == "PATCH";
  if (!NeedsBody)
    return;
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Request.Body_.size()));
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Request.Body_.data());
}

void CurlTransfer::setHeaders(const HttpRequest &Request) {
  curl_slist *List = nullptr;
  for (const HttpHeader &Header : Request.Headers_) {
    std::string Line = Header.Name_ + ": " + Header.Value_;
    if (Header.Value_.empty())
      Line = Header.Name_ + ";";
    List = curl_slist_append(List, Line.c_str());
  }
  List = curl_slist_append(List, "Expect:");
  if (findHeader(Request.Headers_, "Content-Type") == nullptr)
    List = curl_slist_append(List, "Content-Type:");
  if (findHeader(Request.Headers_, "Accept") == nullptr)
    List = curl_slist_append(List, "Accept:");
  HeaderList_.reset(List);
  curl_easy_setopt(Handle_.get(), CURLOPT_HTTPHEADER, List);
}

void CurlTransfer::prepare(const std::string &BaseUrl,
                           const HttpRequest &Request,
                           std::chrono::milliseconds Longest,
                           std::size_t LargestAnswer, ConnectionPolicy Policy) {
  CURL *Handle = Handle_.get();
  curl_easy_reset(Handle);
  Server_ = BaseUrl;
  PreparedAt_ = std::chrono::steady_clock::now();
  Longest_ = Longest;
  Answer_ = {};
  IsTooLarge_ = false;
  IsHeadWhole_ = false;
  WasOffered_ = false;
  WasSent_ = false;
  IsRepeated_ = false;
  LargestAnswer_ = LargestAnswer;
  Completeness_ = Completeness::Missing;
  std::string Url = BaseUrl + Request.Target_;
  curl_easy_setopt(Handle, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   std::max<long>(1, Longest.count()));
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &CurlTransfer::onBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, &CurlTransfer::onHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(Handle, CURLOPT_SOCKOPTFUNCTION, &CurlTransfer::onConnect);
  curl_easy_setopt(Handle, CURLOPT_SOCKOPTDATA, this);
  curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, &CurlTransfer::onSend);
  curl_easy_setopt(Handle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(Handle, CURLOPT_PRIVATE, this);
  if (Policy == ConnectionPolicy::FreshOnly) {
    curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, 1L);
  }
  setMethod(Request);
  setHeaders(Request);
}

bool CurlTransfer::isFramed() const {
  if (IsHead_ || Answer_.Status_ == httpstatus::NoContent ||
      Answer_.Status_ == httpstatus::NotModified)
    return true;
  return findHeader(Answer_.Headers_, "Content-Length") != nullptr ||
         findHeader(Answer_.Headers_, "Transfer-Encoding") != nullptr;
}

CurlTransfer::Completeness CurlTransfer::judge() const {
  if (IsTooLarge_)
    return Completeness::TooLarge;
  if (!IsHeadWhole_)
    return Completeness::Missing;
  if (Code_ != CURLE_OK)
    return Completeness::Truncated;
  return isFramed() ? Completeness::Whole : Completeness::Unframed;
}

const char *CurlTransfer::description() const {
  if (IsRepeated_ && !IsRead_)
    return "the connection closed before an answer came";
  return curl_easy_strerror(Code_);
}

void CurlTransfer::finish(CURLcode Code) {
  Code_ = Code;
  CURL *Handle = Handle_.get();
  long Status = 0;
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  Answer_.Status_ = static_cast<int>(Status);
  curl_off_t ReadyToSend = 0;
  curl_easy_getinfo(Handle, CURLINFO_PRETRANSFER_TIME_T, &ReadyToSend);
  long RequestSize = 0;
  curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &RequestSize);
  WasOffered_ =
      Code == CURLE_OK || WasSent_ || ReadyToSend > 0 || RequestSize > 0;
  long NewConnections = 0;
  curl_easy_getinfo(Handle, CURLINFO_NUM_CONNECTS, &NewConnections);
  UsedKeptConnection_ = WasSent_ && NewConnections == 0;
  Completeness_ = judge();
}

} // namespace dragonflylock
