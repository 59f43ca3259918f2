#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>

#include "cases.hpp"
#include "http.hpp"
#include "record.hpp"
#include "replica.hpp"

int main(int argc, char** argv) {
  using namespace review;
  signal(SIGPIPE, SIG_IGN);
  (void)NowMs();
  const std::string_view verb = argc > 1 ? argv[1] : "";
  if (verb == "replica") {
    return RunReplica(argc - 2, argv + 2);
  }
  if (argc < 3) {
    return kCouldNotRun;
  }
  OpenRecord(argv[2]);
  const char* trouble = std::getenv("TROUBLE");
  const bool with_trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  int result = kCouldNotRun;
  try {
    if (verb == "crashes-before-final-fault") {
      result = RunCrashesBeforeFinalFault(with_trouble);
    } else if (verb == "poisoned-prompts") {
      result = RunPoisonedPrompts(with_trouble);
    } else if (verb == "overwritten-drain") {
      result = RunOverwrittenDrain(with_trouble);
    } else if (verb == "unheard-announcement") {
      result = RunUnheardAnnouncement(with_trouble);
    } else if (verb == "raised-limit") {
      result = RunRaisedLimit(with_trouble);
    }
  } catch (const std::exception& error) {
    Record(std::string("could not run: ") + error.what());
  }
  Record("exit code " + std::to_string(result));
  // Threads of the stand-ins still wait for connections.
  std::_Exit(result);
}
