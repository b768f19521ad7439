#include "cli/clierrors.h"
#include "cli/commandline.h"
#include "http/httperrors.h"
#include "http/httptypes.h"
#include "http/ihttpclient.h"

#include <gtest/gtest.h>

#include <deque>
#include <fstream>
#include <sstream>

namespace dragonflylock {
namespace {

/// Answers from a script and records what was asked.
class ScriptedClient : public IHttpClient {
public:
  Result<HttpAnswer> exchange(const std::string &BaseUrl,
                              const HttpRequest &Request,
                              std::chrono::milliseconds) override {
    Asked_.push_back(Request);
    BaseUrl_ = BaseUrl;
    if (Answers_.empty())
      return Error(HttpErrc::NotSent, "nobody listens", "start it");
    Result<HttpAnswer> Next = std::move(Answers_.front());
    Answers_.pop_front();
    return Next;
  }
  std::deque<Result<HttpAnswer>> Answers_;
  std::vector<HttpRequest> Asked_;
  std::string BaseUrl_;
};

class CommandLineTest : public ::testing::Test {
protected:
  int run(const std::vector<std::string> &Words) {
    Out_.str({});
    Err_.str({});
    CommandLine Program(
        Client_, [](const std::string &) { return std::nullopt; }, Out_, Err_);
    return Program.run(Words);
  }
  void answer(int Status, const std::string &Body) {
    Client_.Answers_.emplace_back(HttpAnswer{Status, {}, Body});
  }

  ScriptedClient Client_;
  std::ostringstream Out_;
  std::ostringstream Err_;
};

TEST_F(CommandLineTest, ShowsTablesAndJson) {
  std::string Body = R"({"exceptions":[{"pool":"mending","setting":"deadline",)"
                     R"("value":"30s","reason":"slow"}]})";
  answer(200, Body);
  EXPECT_EQ(run({"exception", "list"}), 0);
  EXPECT_EQ(Out_.str(), "POOL     SETTING   VALUE  REASON\n"
                        "mending  deadline  30s    slow\n");
  answer(200, Body);
  EXPECT_EQ(run({"exception", "list", "--output=json"}), 0);
  EXPECT_EQ(Out_.str(), Body);
}

TEST_F(CommandLineTest, HasAnExitCodeForEachKindOfError) {
  EXPECT_EQ(run({"nonsense"}), 2);
  EXPECT_EQ(run({"pool", "list"}), 5);
  for (auto [Status, Code] : std::vector<std::pair<int, int>>{
           {422, 3}, {409, 4}, {503, 5}, {404, 7}, {401, 8}}) {
    answer(Status, R"({"title":"t","detail":"d","remedy":"r"})");
    EXPECT_EQ(run({"pool", "list"}), Code);
    EXPECT_NE(Err_.str().find("remedy: r"), std::string::npos);
    EXPECT_TRUE(Out_.str().empty());
  }
}

TEST_F(CommandLineTest, RepeatsAChangeOfUnknownResultWithTheSameId) {
  Client_.Answers_.emplace_back(Error(HttpErrc::AnswerLost, "lost", "look"));
  answer(502, R"({"title":"platform-answer-lost"})");
  answer(200, R"({"version":4})");
  EXPECT_EQ(run({"exception", "remove", "--pool=a", "--setting=deadline"}), 0);
  EXPECT_EQ(Out_.str(), "accepted as version 4\n");
  ASSERT_EQ(Client_.Asked_.size(), 3U);
  const std::string *Id = findHeader(Client_.Asked_[0].Headers_, "Change-Id");
  for (const HttpRequest &Each : Client_.Asked_)
    EXPECT_EQ(*findHeader(Each.Headers_, "Change-Id"), *Id);
}

TEST_F(CommandLineTest, DoesNotRepeatAConflict) {
  answer(409, R"({"title":"version-conflict"})");
  EXPECT_EQ(run({"exception", "remove", "--pool=a", "--setting=b"}), 4);
  EXPECT_EQ(Client_.Asked_.size(), 1U);
}

TEST_F(CommandLineTest, ChecksAFileWithoutADaemon) {
  std::string Path = ::testing::TempDir() + "/faulty.yaml";
  std::ofstream(Path) << "defaults:\n  deadline: 5\n";
  EXPECT_EQ(run({"config", "check", Path}), 3);
  EXPECT_NE(Err_.str().find("line 2"), std::string::npos);
  EXPECT_TRUE(Client_.Asked_.empty());
  EXPECT_EQ(run({"config", "check", std::string(EXAMPLES) + "/demo.yaml"}), 0);
}

TEST_F(CommandLineTest, AnExceptionNeedsAReason) {
  EXPECT_EQ(run({"exception", "add", "--pool=a", "--setting=b", "--value=c"}),
            2);
}

} // namespace
} // namespace dragonflylock
