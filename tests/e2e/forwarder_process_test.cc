#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>

#include "support/child_process.h"

// Included last, because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using wagtailwind::testing::ChildProcess;

constexpr const char* kSettings =
    "role: forwarder\n"
    "instance: {name: router-1, availability_zone: zone-1}\n"
    "listen: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\"}\n"
    "platform: {key_value: \"127.0.0.1:1\"}\n";

}  // namespace

// Guards against a reload signal (SIGHUP) that terminates the process while it is starting.
Test(forwarder_process, survives_a_reload_signal_before_it_serves) {
  std::string folder = std::filesystem::temp_directory_path() / "forwarder-XXXXXX";
  cr_assert_not_null(mkdtemp(folder.data()));
  const std::string pipe = folder + "/settings.yaml";
  cr_assert_eq(mkfifo(pipe.c_str(), 0600), 0);
  ChildProcess forwarder(
      {std::string(WAGTAILWIND_BINARY_DIR) + "/wagtailwind-forwarder", "--config", pipe});
  // Returns once the process opens its settings, which then block it until they are written.
  const int writer = open(pipe.c_str(), O_WRONLY | O_CLOEXEC);
  forwarder.Signal(SIGHUP);
  const std::string settings = kSettings;
  cr_assert_eq(write(writer, settings.data(), settings.size()),
               static_cast<ssize_t>(settings.size()));
  // Replaces the pipe by a file, so that the reload after startup does not wait for a second
  // writer.
  std::ofstream(folder + "/new") << settings;
  std::filesystem::rename(folder + "/new", pipe);
  close(writer);
  cr_assert(forwarder.ReadLine().find("forwarder_started") != std::string::npos);
  forwarder.Signal(SIGTERM);
  cr_assert_eq(forwarder.Wait(), 0);
  std::filesystem::remove_all(folder);
}
